package questionnaire

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	"lycheevale/internal/base/yamldoc"
)

// Answers are what a new team says about its workloads, limits and regions.
type Answers struct {
	Team        string         `yaml:"Team"`
	DataCentres []DataCentre   `yaml:"DataCentres"`
	Models      []Model        `yaml:"Models"`
	Services    []PlainService `yaml:"Services"`
	Customers   []Customer     `yaml:"Customers"`
	Traffic     Traffic        `yaml:"Traffic"`
	Operations  Operations     `yaml:"Operations"`
}

// DataCentre is a data centre with the addresses of its instances.
type DataCentre struct {
	Name       string       `yaml:"Name"`
	Region     string       `yaml:"Region"`
	Instances  []netip.Addr `yaml:"Instances"`
	DataFolder string       `yaml:"DataFolder"` // on the first instance; empty if it has no disk
}

// Model is a base model that callers use through a service.
type Model struct {
	Name         string  `yaml:"Name"`
	Service      string  `yaml:"Service"`
	Adapters     int     `yaml:"Adapters"` // planned for the next two years
	Availability float64 `yaml:"Availability"`
	FirstTokenMS int     `yaml:"FirstTokenMS"`
}

// PlainService is a service without a model.
type PlainService struct {
	Name         string  `yaml:"Name"`
	Availability float64 `yaml:"Availability"`
	Routes       []Route `yaml:"Routes"`
}

// Route is a call that a plain service offers.
type Route struct {
	Method     string `yaml:"Method"`
	Path       string `yaml:"Path"`
	Repeatable bool   `yaml:"Repeatable"` // running it twice does no harm
	Open       bool   `yaml:"Open"`       // for callers without a key
}

// Customer is a customer with its traffic at the busiest time.
type Customer struct {
	Name              string  `yaml:"Name"`
	RequestsPerMinute float64 `yaml:"RequestsPerMinute"`
	PromptTokens      int     `yaml:"PromptTokens"` // of a large request
	OutputTokens      int     `yaml:"OutputTokens"` // at most, of a large request
	BurstSeconds      int     `yaml:"BurstSeconds"` // of traffic that may arrive at once
	Priority          int     `yaml:"Priority"`
	StrictKeys        bool    `yaml:"StrictKeys"` // rather refuse than accept a key that may be revoked
}

// Traffic describes the requests of all customers together.
type Traffic struct {
	Callers        int           `yaml:"Callers"` // open connections at the busiest time
	LongestRequest time.Duration `yaml:"LongestRequest"`
	RegionLatency  time.Duration `yaml:"RegionLatency"` // one way, between regions
}

// Operations describes how the instances are run.
type Operations struct {
	LoadBalancerDelay time.Duration `yaml:"LoadBalancerDelay"` // from not ready to no new connections
	CertificateFolder string        `yaml:"CertificateFolder"`
	TrustedNetwork    bool          `yaml:"TrustedNetwork"`
	CredentialsFile   string        `yaml:"CredentialsFile"`
	AuditFile         string        `yaml:"AuditFile"`
}

// Load reads answers from a YAML file; errors carry line and column.
func Load(path string) (a Answers, err error) {
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return a, err
	}
	if len(docs) != 1 {
		return a, yamldoc.SourceError{File: path, Message: "expected exactly one YAML document with answers"}
	}
	if err := docs[0].Decode(&a); err != nil {
		return a, err
	}
	var problems yamldoc.SourceErrors
	for _, p := range a.problems() {
		problems = append(problems, docs[0].ErrorAt(p.path, p.path[2:]+" "+p.message, p.hint))
	}
	return a, problems.Err()
}

// Check returns an error that lists every answer that is not usable.
func (a Answers) Check() error {
	var problems yamldoc.SourceErrors
	for _, p := range a.problems() {
		problems = append(problems, yamldoc.SourceError{Message: p.path[2:] + " " + p.message, Hint: p.hint})
	}
	return problems.Err()
}

type problem struct {
	path, message, hint string
}

type problems []problem

func (ps *problems) add(path, hint, format string, args ...any) {
	*ps = append(*ps, problem{path: "$." + path, message: fmt.Sprintf(format, args...), hint: hint})
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,55}[a-z0-9])?$`)

func (ps *problems) name(path, value string) {
	if !namePattern.MatchString(value) {
		ps.add(path, "lower-case letters, digits and hyphens", "is %q, which is not a valid name", value)
	}
}

func (ps *problems) unique(path, value string, seen map[string]bool) {
	if seen[value] {
		ps.add(path, "", "%q occurs twice", value)
	}
	seen[value] = true
}

func (a Answers) problems() problems {
	ps := &problems{}
	if strings.TrimSpace(a.Team) == "" {
		ps.add("Team", "", "is missing")
	}
	a.checkDataCentres(ps)
	a.checkServices(ps)
	a.checkCustomers(ps)
	a.checkTraffic(ps)
	return *ps
}

func (a Answers) checkDataCentres(ps *problems) {
	if len(a.DataCentres) == 0 {
		ps.add("DataCentres", "", "is missing")
	}
	names, addresses, disks := map[string]bool{}, map[string]bool{}, 0
	for i, d := range a.DataCentres {
		path := fmt.Sprintf("DataCentres[%d]", i)
		ps.name(path+".Name", d.Name)
		ps.name(path+".Region", d.Region)
		ps.unique(path+".Name", d.Name, names)
		if len(d.Instances) == 0 {
			ps.add(path+".Instances", "", "is missing")
		}
		for k, address := range d.Instances {
			at := fmt.Sprintf("%s.Instances[%d]", path, k)
			if !address.IsValid() || address.IsUnspecified() {
				ps.add(at, "", "must be the address of one interface")
			}
			ps.unique(at, address.String(), addresses)
		}
		if d.DataFolder != "" {
			disks++
		}
	}
	if len(a.DataCentres) > 0 && disks == 0 {
		ps.add("DataCentres", "name the DataFolder of one data centre, better of three", "has no disk; configuration must be stored")
	}
}

func (a Answers) checkServices(ps *problems) {
	names, models, routes := map[string]bool{}, map[string]bool{}, map[string]bool{}
	if len(a.Models) == 0 {
		ps.add("Models", "", "is missing")
	}
	for i, m := range a.Models {
		path := fmt.Sprintf("Models[%d]", i)
		ps.name(path+".Name", m.Name)
		ps.name(path+".Service", m.Service)
		ps.unique(path+".Name", m.Name, models)
		ps.unique(path+".Service", m.Service, names)
		ps.objective(path, m.Availability)
		if m.Adapters < 0 || m.FirstTokenMS <= 0 {
			ps.add(path, "", "needs FirstTokenMS of more than 0 and Adapters of 0 or more")
		}
	}
	for i, s := range a.Services {
		path := fmt.Sprintf("Services[%d]", i)
		ps.name(path+".Name", s.Name)
		ps.unique(path+".Name", s.Name, names)
		ps.objective(path, s.Availability)
		if len(s.Routes) == 0 {
			ps.add(path+".Routes", "", "is missing")
		}
		for k, r := range s.Routes {
			at := fmt.Sprintf("%s.Routes[%d]", path, k)
			ps.unique(at, r.Method+" "+r.Path, routes)
			if r.Method != strings.ToUpper(r.Method) || r.Method == "" || !strings.HasPrefix(r.Path, "/") {
				ps.add(at, "such as {Method: POST, Path: /orders}", "is not a valid route")
			}
			if r.Repeatable && r.Method == "POST" && r.Open {
				ps.add(at, "", "is open to everybody and may be repeated; a POST without a key must not be")
			}
		}
	}
}

func (ps *problems) objective(path string, availability float64) {
	if availability <= 0 || availability >= 1 {
		ps.add(path+".Availability", "0.999 allows 43 minutes a month", "is %v, expected more than 0 and less than 1", availability)
	}
}

func (a Answers) checkCustomers(ps *problems) {
	if len(a.Customers) == 0 {
		ps.add("Customers", "", "is missing")
	}
	names := map[string]bool{}
	for i, c := range a.Customers {
		path := fmt.Sprintf("Customers[%d]", i)
		ps.name(path+".Name", c.Name)
		ps.unique(path+".Name", c.Name, names)
		if !(c.RequestsPerMinute > 0) || c.PromptTokens <= 0 || c.OutputTokens <= 0 || c.BurstSeconds < 0 {
			ps.add(path, "", "needs RequestsPerMinute, PromptTokens and OutputTokens of more than 0")
		}
	}
}

func (a Answers) checkTraffic(ps *problems) {
	if a.Traffic.Callers <= 0 {
		ps.add("Traffic.Callers", "", "is %d, expected more than 0", a.Traffic.Callers)
	}
	if a.Traffic.LongestRequest <= 0 {
		ps.add("Traffic.LongestRequest", "such as 60s", "is %s, expected more than 0", a.Traffic.LongestRequest)
	}
	if a.Traffic.RegionLatency < 0 || a.Operations.LoadBalancerDelay < 0 {
		ps.add("Traffic", "", "and Operations must not hold negative times")
	}
	exposed := slices.ContainsFunc(a.DataCentres, func(d DataCentre) bool {
		return slices.ContainsFunc(d.Instances, func(i netip.Addr) bool { return !i.IsLoopback() })
	})
	if exposed && a.Operations.CertificateFolder == "" && !a.Operations.TrustedNetwork {
		ps.add("Operations.CertificateFolder", "or answer TrustedNetwork: true", "is missing; connections would not be encrypted")
	}
}
