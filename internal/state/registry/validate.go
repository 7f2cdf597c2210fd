package registry

import (
	"encoding/hex"
	"math"
	"regexp"
	"slices"
	"strings"
)

// maxChanges bounds one command, so that its log entry is small enough to replicate in one message.
const maxChanges = 10_000

// simpleName matches all names except those of versions and shares, which consist of two such names.
var simpleName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

// checkFields checks everything that does not depend on other objects.
func checkFields(o Object) *ChangeError {
	id := ID{o.Kind, o.Name}
	invalid := func(format string, args ...any) *ChangeError { return reject(CodeInvalid, id, format, args...) }
	if !validName(o) {
		return invalid("the name is not valid")
	}
	specs := o.specs()
	if o.Deleted {
		if len(specs) > 0 {
			return invalid("a deleted object has no spec")
		}
		return nil
	}
	if !slices.Equal(specs, []Kind{o.Kind}) {
		return invalid("the specs are %v, want exactly the one of the kind", specs)
	}
	switch o.Kind {
	case KindCustomer:
		unlimited := o.Customer.Rate == 0 && o.Customer.Burst == 0
		if !unlimited && (!positiveFinite(o.Customer.Rate) || !positiveFinite(o.Customer.Burst)) {
			return invalid("rate and burst must both be positive, or both be 0 for no limit")
		}
	case KindKey:
		if b, err := hex.DecodeString(o.Key.Hash); err != nil || len(b) != 32 {
			return invalid("the hash is not a hexadecimal SHA-256")
		}
	case KindVersion:
		return checkVersion(o, invalid)
	case KindService:
		return checkService(o.Service, invalid)
	case KindVoter:
		if !o.Voter.Address.IsValid() || !simpleName.MatchString(o.Voter.DataCentre) {
			return invalid("address and data centre are required")
		}
	case KindShare:
		return checkShare(o, invalid)
	case KindQuarantine:
		return checkQuarantine(o, invalid)
	}
	return nil
}

func (o Object) specs() (kinds []Kind) {
	set := map[Kind]bool{
		KindCustomer: o.Customer != nil, KindKey: o.Key != nil, KindModel: o.Model != nil, KindAdapter: o.Adapter != nil,
		KindVersion: o.Version != nil, KindService: o.Service != nil, KindVoter: o.Voter != nil, KindShare: o.Share != nil,
		KindQuarantine: o.Quarantine != nil,
	}
	for kind, present := range set {
		if present {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	return kinds
}

func validName(o Object) bool {
	separator := map[Kind]string{KindVersion: "@", KindShare: "/"}[o.Kind]
	if separator == "" {
		return simpleName.MatchString(o.Name)
	}
	left, right, ok := strings.Cut(o.Name, separator)
	return ok && simpleName.MatchString(left) && simpleName.MatchString(right)
}

func positiveFinite(f float64) bool { return f > 0 && !math.IsInf(f, 0) }

type invalidFunc func(format string, args ...any) *ChangeError

func checkVersion(o Object, invalid invalidFunc) *ChangeError {
	adapter, _, _ := strings.Cut(o.Name, "@")
	switch {
	case o.Version.Adapter != adapter:
		return invalid("the name does not start with adapter %q", o.Version.Adapter)
	case o.Version.Source == "":
		return invalid("the source is required")
	case o.Version.State != VersionActive && o.Version.State != VersionWithdrawn:
		return invalid("unknown state %q", o.Version.State)
	}
	return nil
}

func checkService(s *Service, invalid invalidFunc) *ChangeError {
	if s.Objective.Availability < 0 || s.Objective.Availability > 1 || s.Objective.FirstTokenMS < 0 {
		return invalid("the objective is out of range")
	}
	switch s.Kind {
	case ServiceModel:
		if len(s.Routes) > 0 {
			return invalid("a model service has no routes")
		}
	case ServicePlain:
		if s.Model != "" || len(s.Routes) == 0 {
			return invalid("a plain service has routes and no model")
		}
	default:
		return invalid("unknown service kind %q", s.Kind)
	}
	for _, r := range s.Routes {
		if !slices.Contains(routeMethods, r.Method) || !strings.HasPrefix(r.Path, "/") {
			return invalid("route %s %s is not valid", r.Method, r.Path)
		}
	}
	return nil
}

func checkShare(o Object, invalid invalidFunc) *ChangeError {
	s := o.Share
	switch {
	case o.Name != s.Customer+"/"+s.DataCentre:
		return invalid("the name is not customer/data centre")
	case !(s.Rate >= 0) || !(s.Burst >= 0) || math.IsInf(s.Rate, 0) || math.IsInf(s.Burst, 0):
		return invalid("rate and burst must not be negative")
	case s.Epoch == 0:
		return invalid("the epoch starts at 1")
	}
	return nil
}

// maxSignature bounds the length of a quarantined signature in bytes.
const maxSignature = 1 << 10

func checkQuarantine(o Object, invalid invalidFunc) *ChangeError {
	q := *o.Quarantine
	switch {
	case q.Signature == "" || len(q.Signature) > maxSignature:
		return invalid("a signature of 1 to %d bytes is required", maxSignature)
	case o.Name != QuarantineName(q):
		return invalid("the name is not %s, which belongs to the service and the signature", QuarantineName(q))
	}
	return nil
}

// checkTransition compares an object with the one it replaces.
func (r *Registry) checkTransition(o Object) *ChangeError {
	id := ID{o.Kind, o.Name}
	if o.Kind == KindKey && r.options.Rules.KeepWithdrawn {
		if _, deleted := r.withdrawn[o.Name]; deleted && !o.Deleted {
			return reject(CodeWithdrawn, id, "a withdrawn key cannot come back")
		}
	}
	old, exists := r.object(id)
	switch {
	case o.Deleted && !exists:
		return reject(CodeMissing, id, "the object does not exist")
	case o.Deleted || !exists:
		return nil
	case o.Key != nil && (o.Key.Customer != old.Key.Customer || o.Key.Hash != old.Key.Hash):
		return reject(CodeImmutable, id, "customer and hash of a key cannot change")
	case o.Key != nil && old.Key.Withdrawn && !o.Key.Withdrawn && r.options.Rules.KeepWithdrawn:
		return reject(CodeWithdrawn, id, "a withdrawn key cannot come back")
	case o.Version != nil && o.Version.Source != old.Version.Source:
		return reject(CodeImmutable, id, "the source of a version cannot change")
	case o.Adapter != nil && (o.Adapter.Customer != old.Adapter.Customer || o.Adapter.Model != old.Adapter.Model):
		return reject(CodeImmutable, id, "customer and model of an adapter cannot change")
	case o.Share != nil:
		return checkEpoch(id, *old.Share, *o.Share, r.allowances[o.Name])
	}
	return nil
}

// checkEpoch ensures that a confirmation belongs to exactly the share that the data centre has recorded. A share that is
// not below what the data centre may be using needs no confirmation.
func checkEpoch(id ID, old, next Share, used allowance) *ChangeError {
	same := old.Rate == next.Rate && old.Burst == next.Burst
	reduced := next.Rate < used.Rate || next.Burst < used.Burst
	switch {
	case same && next.Epoch != old.Epoch:
		return reject(CodeInvalid, id, "the epoch changes only with the share")
	case !same && next.Epoch <= old.Epoch:
		return reject(CodeInvalid, id, "epoch %d does not follow epoch %d", next.Epoch, old.Epoch)
	case !same && next.Confirmed && reduced:
		return reject(CodeInvalid, id, "a reduced share is not confirmed yet")
	case same && old.Confirmed && !next.Confirmed:
		return reject(CodeInvalid, id, "a confirmation cannot be taken back")
	}
	return nil
}
