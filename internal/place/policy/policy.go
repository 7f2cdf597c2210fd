// Package policy reads the settings of placement and scheduling from YAML.
package policy

import (
	"bytes"
	"os"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/zeebo/errs"

	"lycheevale/internal/place/route"
	"lycheevale/internal/place/scheduler"
)

// Error is the class of errors in policy files.
var Error = errs.Class("policy")

// Policy is the content of a policy file. Fields that the file omits keep their defaults.
type Policy struct {
	Scheduler Scheduler `yaml:"Scheduler"`
	Route     Route     `yaml:"Route"`
}

// Scheduler is the part of scheduler.Options that operators set.
type Scheduler struct {
	LoadTime        time.Duration `yaml:"LoadTime"`
	MaxLoads        int           `yaml:"MaxLoads"`
	HalfLife        time.Duration `yaml:"HalfLife"`
	TurnGap         time.Duration `yaml:"TurnGap"`
	OpenShare       float64       `yaml:"OpenShare"`
	ConversationGap time.Duration `yaml:"ConversationGap"`
	MaxConversation time.Duration `yaml:"MaxConversation"`
	ReplicaValue    float64       `yaml:"ReplicaValue"`
	ForeignValue    float64       `yaml:"ForeignValue"`
	CreditTokens    float64       `yaml:"CreditTokens"`
	WorkBonus       time.Duration `yaml:"WorkBonus"`
	PrefetchGain    float64       `yaml:"PrefetchGain"`
	CopyGap         float64       `yaml:"CopyGap"`
	MaxFailures     int           `yaml:"MaxFailures"`
	FailureDelay    time.Duration `yaml:"FailureDelay"`
	QuarantineFor   time.Duration `yaml:"QuarantineFor"`
}

// Route is the part of route.Options that operators set.
type Route struct {
	LoadCost     time.Duration `yaml:"LoadCost"`
	Latency      time.Duration `yaml:"Latency"`
	PricePerByte time.Duration `yaml:"PricePerByte"`
	HalfLife     time.Duration `yaml:"HalfLife"`
	FillTarget   float64       `yaml:"FillTarget"`
	Hysteresis   float64       `yaml:"Hysteresis"`
}

// Defaults returns the default policy.
func Defaults() Policy {
	s, r := scheduler.Defaults(), route.Defaults()
	return Policy{
		Scheduler: Scheduler{
			s.LoadTime, s.MaxLoads, s.HalfLife, s.TurnGap, s.OpenShare, s.ConversationGap, s.MaxConversation, s.ReplicaValue, s.ForeignValue, s.CreditTokens,
			s.WorkBonus, s.PrefetchGain, s.CopyGap, s.MaxFailures, s.FailureDelay, s.QuarantineFor,
		},
		Route: Route{r.LoadCost, r.Latency, r.PricePerByte, r.HalfLife, r.FillTarget, r.Hysteresis},
	}
}

// Load reads a policy file; unknown fields and values out of range are errors.
func Load(path string) (p Policy, err error) {
	defer func() { err = Error.Wrap(err) }()
	data, err := os.ReadFile(path)
	if err != nil {
		return Policy{}, err
	}
	return Parse(data)
}

// Parse reads the content of a policy file.
func Parse(data []byte) (p Policy, err error) {
	defer func() { err = Error.Wrap(err) }()
	p = Defaults()
	if err := yaml.NewDecoder(bytes.NewReader(data), yaml.Strict()).Decode(&p); err != nil {
		return Policy{}, err
	}
	return p, p.check()
}

func (p Policy) check() error {
	s, r := p.Scheduler, p.Route
	switch {
	case s.LoadTime <= 0 || s.MaxLoads <= 0 || s.HalfLife <= 0 || s.TurnGap <= 0:
		return errs.New("LoadTime, MaxLoads, HalfLife and TurnGap must be positive")
	case s.ConversationGap <= 0 || s.MaxConversation <= 0:
		return errs.New("ConversationGap and MaxConversation must be positive")
	case s.OpenShare < 0 || s.OpenShare >= 1:
		return errs.New("OpenShare must be at least 0 and below 1")
	case s.MaxFailures <= 0 || s.FailureDelay <= 0 || s.QuarantineFor <= 0:
		return errs.New("MaxFailures, FailureDelay and QuarantineFor must be positive")
	case r.HalfLife <= 0 || r.FillTarget <= 0 || r.Hysteresis < 1:
		return errs.New("Route needs a positive HalfLife and FillTarget and a Hysteresis of at least 1")
	}
	return nil
}

// SchedulerOptions returns the settings for scheduler.New.
func (p Policy) SchedulerOptions() scheduler.Options {
	o, s := scheduler.Defaults(), p.Scheduler
	o.LoadTime, o.MaxLoads = s.LoadTime, s.MaxLoads
	o.HalfLife, o.TurnGap, o.OpenShare = s.HalfLife, s.TurnGap, s.OpenShare
	o.ConversationGap, o.MaxConversation = s.ConversationGap, s.MaxConversation
	o.ReplicaValue, o.ForeignValue = s.ReplicaValue, s.ForeignValue
	o.CreditTokens, o.WorkBonus = s.CreditTokens, s.WorkBonus
	o.PrefetchGain, o.CopyGap = s.PrefetchGain, s.CopyGap
	o.MaxFailures, o.FailureDelay, o.QuarantineFor = s.MaxFailures, s.FailureDelay, s.QuarantineFor
	return o
}

// RouteOptions returns the settings for route.New, without the data centre and the number of entries.
func (p Policy) RouteOptions() route.Options {
	o, r := route.Defaults(), p.Route
	o.LoadCost, o.Latency, o.PricePerByte = r.LoadCost, r.Latency, r.PricePerByte
	o.HalfLife, o.FillTarget, o.Hysteresis = r.HalfLife, r.FillTarget, r.Hysteresis
	return o
}
