package operator

import (
	"net/http"
	"strconv"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
)

// Collection is the plural name of a kind in paths and commands.
type Collection struct {
	Name string
	Kind registry.Kind
}

// Collections lists all kinds in the order in which objects depend on each other.
var Collections = []Collection{
	{"models", registry.KindModel},
	{"customers", registry.KindCustomer},
	{"keys", registry.KindKey},
	{"adapters", registry.KindAdapter},
	{"versions", registry.KindVersion},
	{"services", registry.KindService},
	{"voters", registry.KindVoter},
	{"shares", registry.KindShare},
	{"quarantines", registry.KindQuarantine},
}

// CollectionOf returns the collection with a plural name or the name of its kind.
func CollectionOf(name string) (c Collection, ok bool) {
	for _, c := range Collections {
		if name == c.Name || name == string(c.Kind) {
			return c, true
		}
	}
	return Collection{}, false
}

// CollectionNames returns the plural names of all collections.
func CollectionNames() []string {
	names := make([]string, 0, len(Collections))
	for _, c := range Collections {
		names = append(names, c.Name)
	}
	return names
}

// listObjects answers with all objects of a kind, or with those of the given names that exist.
func (s *Server) listObjects(r *http.Request) (any, error) {
	c, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	// The revision is read first: an ExpectedRevision that is too old fails, one too new would not.
	answer := Objects{Revision: s.options.System.Revision()}
	names := r.URL.Query()["Name"]
	if len(names) == 0 {
		answer.Objects = append([]registry.Object{}, s.options.System.Objects(c.Kind)...)
		return answer, nil
	}
	answer.Objects = []registry.Object{}
	for _, name := range names {
		if o, ok := s.options.System.Object(c.Kind, name); ok {
			answer.Objects = append(answer.Objects, o)
		}
	}
	return answer, nil
}

func (s *Server) getObject(r *http.Request) (any, error) {
	c, err := kindOf(r)
	if err != nil {
		return nil, err
	}
	revision := s.options.System.Revision()
	o, ok := s.options.System.Object(c.Kind, r.PathValue("name"))
	if !ok {
		return nil, refusal.New(refusal.NotFound, "there is no %s %q", c.Kind, r.PathValue("name"))
	}
	return Objects{Revision: revision, Objects: []registry.Object{o}}, nil
}

func (s *Server) listLimits(*http.Request) (any, error) {
	answer := Limits{Revision: s.options.System.Revision(), Limits: []Limit{}}
	shares := map[string][]registry.Share{}
	for _, o := range s.options.System.Objects(registry.KindShare) {
		shares[o.Share.Customer] = append(shares[o.Share.Customer], *o.Share)
	}
	for _, o := range s.options.System.Objects(registry.KindCustomer) {
		answer.Limits = append(answer.Limits, Limit{
			Customer: o.Name, Rate: o.Customer.Rate, Burst: o.Customer.Burst, Shares: shares[o.Name],
		})
	}
	return answer, nil
}

func (s *Server) status(r *http.Request) (any, error) {
	return s.options.System.Status(r.Context())
}

func (s *Server) endpoints(r *http.Request) (any, error) {
	list, err := s.options.System.Endpoints(r.Context())
	return Endpoints{Endpoints: append([]Endpoint{}, list...)}, err
}

func (s *Server) burn(*http.Request) (any, error) {
	if s.options.System.Burn == nil {
		return nil, refusal.New(refusal.NotFound, "this instance does not count outcomes")
	}
	return s.options.System.Burn(), nil
}

func (s *Server) listAudit(r *http.Request) (any, error) {
	limit := maxRecent
	if text := r.URL.Query().Get("Limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, refusal.New(refusal.BadRequest, "Limit is %q, expected a whole number of 1 or more", text)
		}
		limit = n
	}
	return AuditAnswer{Records: s.options.Audit.Recent(limit)}, nil
}
