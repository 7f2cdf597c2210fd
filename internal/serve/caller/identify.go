package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/state/registry"
)

// headerAPIKey is the header that some client libraries use instead of Authorization.
const headerAPIKey = "X-Api-Key"

// requireState refuses requests until configuration and withdrawn keys are loaded: an instance that has just started
// would reject valid keys and accept withdrawn ones.
func (s *Server) requireState(*exchange) error {
	if s.options.Rules.AwaitState && !s.options.Known() {
		return refusal.New(refusal.Unavailable, "instance is starting")
	}
	return nil
}

// identify sets the customer from the key in the request; without a key the caller is anonymous.
func (s *Server) identify(x *exchange) error {
	s.options.Trace(x.r, StepIdentify)
	key, err := requestKey(x.r.Header)
	if err != nil || key == "" {
		return err
	}
	id, secret, ok := splitKey(key)
	if !ok {
		return refusal.New(refusal.NotPermitted, "key is malformed")
	}
	x.keyID = id
	customer, ok := s.customerOf(id, secret)
	if !ok {
		return refusal.New(refusal.NotPermitted, "key is unknown or withdrawn")
	}
	x.customer = customer
	return s.checkFreshness(customer)
}

// checkFreshness refuses requests of customers with strict keys while this instance may lack recent withdrawals.
func (s *Server) checkFreshness(customer string) error {
	o, ok := s.options.Registry.Get(registry.KindCustomer, customer)
	if ok && o.Customer.StrictKeys && s.options.Stale() {
		return refusal.New(refusal.Unavailable, "withdrawn keys cannot be checked here at the moment")
	}
	return nil
}

func requestKey(h http.Header) (string, error) {
	bearer, isBearer := strings.CutPrefix(h.Get("Authorization"), "Bearer ")
	apiKey := h.Get(headerAPIKey)
	switch {
	case h.Get("Authorization") != "" && !isBearer:
		return "", refusal.New(refusal.NotPermitted, "Authorization must be a bearer key")
	case isBearer && apiKey != "" && bearer != apiKey:
		return "", refusal.New(refusal.NotPermitted, "two different keys were presented")
	case isBearer:
		return strings.TrimSpace(bearer), nil
	}
	return apiKey, nil
}

// splitKey splits lv_<id>_<secret>.
func splitKey(key string) (id, secret string, ok bool) {
	parts := strings.Split(key, "_")
	if len(parts) != 3 || parts[0] != "lv" || parts[1] == "" || parts[2] == "" {
		return "", "", false
	}
	return parts[1], parts[2], true
}

func (s *Server) customerOf(id, secret string) (string, bool) {
	o, ok := s.options.Registry.Get(registry.KindKey, id)
	if !ok || o.Key.Withdrawn || s.options.Withdrawn(id) {
		return "", false
	}
	sum := sha256.Sum256([]byte(secret))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(o.Key.Hash)) != 1 {
		return "", false
	}
	return o.Key.Customer, true
}

// authorise resolves the model and checks that the customer may use it.
func (s *Server) authorise(x *exchange) error {
	ref, ok := s.options.Registry.Resolve(x.body.Model)
	if !ok {
		return refusal.New(refusal.UnknownModel, "model %q does not exist or its version is not active", x.body.Model)
	}
	if ref.Adapter == "" && x.customer == "" {
		// Anonymous callers have no rate limit, so they could exhaust a base model for all customers.
		return refusal.New(refusal.NotPermitted, "model %q needs a key", x.body.Model)
	}
	if ref.Customer != "" && ref.Customer != x.customer && s.options.Rules.CheckCustomer {
		if x.customer == "" {
			return refusal.New(refusal.NotPermitted, "model %q needs a key", x.body.Model)
		}
		// The same answer as for a missing model, so that names of other customers' adapters cannot be probed.
		return refusal.New(refusal.UnknownModel, "model %q does not exist or its version is not active", x.body.Model)
	}
	x.ref = ref
	return nil
}

// permitted reports whether a running request may continue.
func (s *Server) permitted(x *exchange) bool {
	if x.keyID == "" {
		return true
	}
	o, ok := s.options.Registry.Get(registry.KindKey, x.keyID)
	return ok && !o.Key.Withdrawn && o.Key.Customer == x.customer && !s.options.Withdrawn(x.keyID) &&
		s.checkFreshness(x.customer) == nil
}

func adapterOf(ref registry.ModelRef) scheduler.AdapterRef {
	return scheduler.AdapterRef{Adapter: ref.Adapter, Version: ref.Version}
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// listModels lists the base models, which need a key, and the adapters that the caller may use.
func (s *Server) listModels(w http.ResponseWriter, r *http.Request) {
	x, err := s.newExchange(w, r)
	if err == nil {
		err = s.runFilters(x, s.requireState, s.identify)
	}
	if err != nil {
		s.refuse(x, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	models := s.options.Registry.List(registry.KindModel)
	if x.customer == "" {
		models = nil
	}
	for _, o := range models {
		list.Data = append(list.Data, modelItem{ID: o.Name, Object: "model", OwnedBy: "lycheevale"})
	}
	for _, o := range s.options.Registry.List(registry.KindAdapter) {
		if o.Adapter.Open || o.Adapter.Customer == x.customer && x.customer != "" {
			list.Data = append(list.Data, modelItem{ID: o.Name, Object: "model", OwnedBy: o.Adapter.Customer})
		}
	}
	writeJSON(w, http.StatusOK, list)
}
