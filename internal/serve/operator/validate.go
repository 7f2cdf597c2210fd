package operator

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"

	"lycheevale/internal/state/registry"
)

// Fault is a field of an object that is not valid; Path is a YAML path within the object.
type Fault struct {
	Index   int    `json:"Index"` // position of the object in the change
	Object  string `json:"Object"`
	Path    string `json:"Path"`
	Message string `json:"Message"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s %s", f.Object, strings.TrimPrefix(f.Path, "$."), f.Message)
}

// maxNameLength bounds the names of objects; they are part of log lines, metrics and cache keys.
const maxNameLength = 128

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	methods     = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

func validName(name string) bool {
	return len(name) <= maxNameLength && namePattern.MatchString(name)
}

// validHash accepts lower case only, because hashes are compared as strings.
func validHash(hash string) bool {
	raw, err := hex.DecodeString(hash)
	return err == nil && len(raw) == 32 && hash == strings.ToLower(hash)
}

type faults struct {
	list   []Fault
	index  int
	object registry.Object
}

func (fs *faults) add(path, format string, args ...any) {
	fs.list = append(fs.list, Fault{
		Index: fs.index, Object: string(fs.object.Kind) + "/" + fs.object.Name, Path: "$." + path,
		Message: fmt.Sprintf(format, args...),
	})
}

// CheckForm returns the faults of the objects that do not depend on the rest of the configuration.
func CheckForm(objects []registry.Object) []Fault {
	fs := &faults{}
	if len(objects) == 0 {
		return []Fault{{Path: "$.Changes", Message: "is empty"}}
	}
	seen := map[registry.ID]bool{}
	for i, o := range objects {
		fs.index, fs.object = i, o
		id := registry.ID{Kind: o.Kind, Name: o.Name}
		if seen[id] {
			fs.add("Name", "occurs twice in one change")
		}
		seen[id] = true
		fs.form(o)
	}
	return fs.list
}

func (fs *faults) form(o registry.Object) {
	if _, known := CollectionOf(string(o.Kind)); !known {
		fs.add("Kind", "%q is not known", o.Kind)
		return
	}
	fs.formName(o)
	specs := Specs(o)
	switch {
	case o.Deleted && len(specs) > 0:
		fs.add("Deleted", "does not go with a specification")
	case o.Deleted:
	case len(specs) != 1 || specs[0] != o.Kind:
		fs.add("Kind", "is %s, so exactly the field %s must be set", o.Kind, o.Kind)
	default:
		fs.spec(o)
	}
}

// Specs returns the kinds whose specification is set in the object.
func Specs(o registry.Object) (kinds []registry.Kind) {
	for _, spec := range []struct {
		kind registry.Kind
		set  bool
	}{
		{registry.KindCustomer, o.Customer != nil}, {registry.KindKey, o.Key != nil}, {registry.KindModel, o.Model != nil},
		{registry.KindAdapter, o.Adapter != nil}, {registry.KindVersion, o.Version != nil},
		{registry.KindService, o.Service != nil}, {registry.KindVoter, o.Voter != nil}, {registry.KindShare, o.Share != nil},
		{registry.KindQuarantine, o.Quarantine != nil},
	} {
		if spec.set {
			kinds = append(kinds, spec.kind)
		}
	}
	return kinds
}

func (fs *faults) formName(o registry.Object) {
	separator := map[registry.Kind]string{registry.KindVersion: "@", registry.KindShare: "/"}[o.Kind]
	parts := []string{o.Name}
	if separator != "" {
		parts = strings.SplitN(o.Name, separator, 2)
	}
	if separator != "" && len(parts) != 2 {
		fs.add("Name", "must have two parts joined by %s", separator)
		return
	}
	for _, part := range parts {
		if !validName(part) {
			fs.add("Name", "%q must be 1 to %d letters, digits or ._- and begin with a letter or digit", part, maxNameLength)
		}
	}
}

func (fs *faults) spec(o registry.Object) {
	switch o.Kind {
	case registry.KindCustomer:
		if o.Customer.Rate != 0 || o.Customer.Burst != 0 { // neither is set for a customer without a limit
			fs.positive("Customer.Rate", o.Customer.Rate)
			fs.positive("Customer.Burst", o.Customer.Burst)
		}
	case registry.KindKey:
		fs.required("Key.Customer", o.Key.Customer)
		if !validHash(o.Key.Hash) {
			fs.add("Key.Hash", "must be a hexadecimal SHA-256 in lower case")
		}
		if strings.Contains(o.Name, "_") {
			fs.add("Name", "must not contain _, which separates the parts of a key")
		}
	case registry.KindAdapter:
		fs.required("Adapter.Customer", o.Adapter.Customer)
		fs.required("Adapter.Model", o.Adapter.Model)
	case registry.KindVersion:
		fs.version(o)
	case registry.KindService:
		fs.service(*o.Service)
	case registry.KindVoter:
		if !o.Voter.Address.IsValid() {
			fs.add("Voter.Address", "must be an address with a port such as 10.0.0.1:8082")
		}
		fs.required("Voter.DataCentre", o.Voter.DataCentre)
	case registry.KindShare:
		if o.Name != o.Share.Customer+"/"+o.Share.DataCentre {
			fs.add("Name", "must be %s/%s", o.Share.Customer, o.Share.DataCentre)
		}
		fs.notNegative("Share.Rate", o.Share.Rate)
		fs.notNegative("Share.Burst", o.Share.Burst)
	case registry.KindQuarantine:
		fs.required("Quarantine.Signature", o.Quarantine.Signature)
		if name := registry.QuarantineName(*o.Quarantine); o.Name != name {
			fs.add("Name", "must be %s", name)
		}
	}
}

func (fs *faults) required(path, value string) {
	if value == "" {
		fs.add(path, "is missing")
	}
}

func (fs *faults) positive(path string, value float64) {
	if !(value > 0) || math.IsInf(value, 0) {
		fs.add(path, "is %v, expected more than 0", value)
	}
}

func (fs *faults) notNegative(path string, value float64) {
	if !(value >= 0) || math.IsInf(value, 0) {
		fs.add(path, "is %v, expected 0 or more", value)
	}
}

func (fs *faults) version(o registry.Object) {
	if adapter, _, _ := strings.Cut(o.Name, "@"); adapter != o.Version.Adapter {
		fs.add("Version.Adapter", "is %q, but the name says %q", o.Version.Adapter, adapter)
	}
	fs.required("Version.Source", o.Version.Source)
	if s := o.Version.State; s != registry.VersionActive && s != registry.VersionWithdrawn {
		fs.add("Version.State", "is %q, expected Active or Withdrawn", s)
	}
}

func (fs *faults) service(s registry.Service) {
	switch s.Kind {
	case registry.ServiceModel:
		fs.required("Service.Model", s.Model)
		if len(s.Routes) > 0 {
			fs.add("Service.Routes", "does not go with kind Model")
		}
	case registry.ServicePlain:
		if len(s.Routes) == 0 {
			fs.add("Service.Routes", "is missing")
		}
		if s.Model != "" {
			fs.add("Service.Model", "does not go with kind Plain")
		}
	default:
		fs.add("Service.Kind", "is %q, expected Model or Plain", s.Kind)
	}
	for i, r := range s.Routes {
		path := fmt.Sprintf("Service.Routes[%d]", i)
		if !slices.Contains(methods, r.Method) {
			fs.add(path+".Method", "is %q, expected one of %s", r.Method, strings.Join(methods, ", "))
		}
		if !strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, "?# ") {
			fs.add(path+".Path", "is %q, expected a path that begins with /", r.Path)
			continue
		}
		if err := register(http.NewServeMux(), "GET "+r.Path); err != nil {
			fs.add(path+".Path", "is %q, which is not a valid pattern: %v", r.Path, err)
		}
	}
	if a := s.Objective.Availability; !(a >= 0 && a <= 1) {
		fs.add("Service.Objective.Availability", "is %v, expected 0 to 1", a)
	}
	if s.Objective.FirstTokenMS < 0 {
		fs.add("Service.Objective.FirstTokenMS", "is %d, expected 0 or more", s.Objective.FirstTokenMS)
	}
}
