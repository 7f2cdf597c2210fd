// Package deployment holds the settings of the entry and control processes, which discover each other through seeds.
package deployment

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/locality"
	"lycheevale/internal/base/yamldoc"
)

// Error is the class of errors of this package.
var Error = errs.Class("deployment")

// Settings are the settings of one process.
type Settings struct {
	Name       string           `yaml:"Name"`
	Address    netip.Addr       `yaml:"Address"` // that other instances connect to
	DataCentre string           `yaml:"DataCentre"`
	Regions    locality.Regions `yaml:"Regions"` // region of each data centre; those of one region are a few milliseconds apart
	Listen     Listen           `yaml:"Listen"`
	Seeds      []netip.AddrPort `yaml:"Seeds"`     // control interfaces of some control instances
	Bootstrap  bool             `yaml:"Bootstrap"` // first start of the whole system: the seeds create the log; false at any later start
	DataFolder string           `yaml:"DataFolder"`
	MemoryMB   int64            `yaml:"MemoryMB"`
	Files      int              `yaml:"Files"`  // file descriptors that the process may open; those that the system allows if 0
	Losses     int              `yaml:"Losses"` // number of control instances that may fail at the same time
	Shutdown   Millis           `yaml:"ShutdownMillis"`
	Retry      Retry            `yaml:"Retry"`
	Rates      Rates            `yaml:"Rates"`
	OrderLease Millis           `yaml:"OrderLeaseMillis"` // between orders of two leaders to an endpoint that does not check fencing numbers
	Heartbeat  Millis           `yaml:"HeartbeatMillis"`  // between announcements of an endpoint
	Fencing    bool             `yaml:"EndpointsFence"`   // endpoints reject orders with an old fencing number
}

// Listen holds the listening addresses of this process; those that its role does not serve are unset.
type Listen struct {
	Callers netip.AddrPort `yaml:"Callers"`
	Ready   netip.AddrPort `yaml:"Ready"`
	Control netip.AddrPort `yaml:"Control"`
	Peers   netip.AddrPort `yaml:"Peers"`
	Metrics netip.AddrPort `yaml:"Metrics"`
}

// Retry bounds the retries of all entries together.
type Retry struct {
	Ratio  float64 `yaml:"Ratio"` // retries for each request
	Window Seconds `yaml:"WindowSeconds"`
	Slack  float64 `yaml:"Slack"` // retries in a window without requests
}

// Rates bounds by how much the use of a customer over all entries may exceed its rate and burst.
type Rates struct {
	Window  Seconds `yaml:"WindowSeconds"` // over which use is counted
	Overage float64 `yaml:"Overage"`       // fraction of what the limit allows in the window
	Slack   float64 `yaml:"Slack"`         // tokens in the window
}

// Seconds is a duration in seconds.
type Seconds float64

// Duration converts to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// Millis is a duration in milliseconds.
type Millis int64

// Duration converts to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Load reads and checks a settings file.
func Load(path string) (s Settings, err error) {
	defer func() { err = Error.Wrap(err) }()
	docs, err := yamldoc.ReadFile(path)
	if err != nil {
		return s, err
	}
	if len(docs) != 1 {
		return s, errs.New("%s: one document is expected, not %d", path, len(docs))
	}
	if err := docs[0].Decode(&s); err != nil {
		return s, err
	}
	return s, s.check(docs[0]).Err()
}

func (s Settings) check(d yamldoc.Document) (found yamldoc.SourceErrors) {
	report := func(path, format string, args ...any) {
		found = append(found, d.ErrorAt(path, fmt.Sprintf(format, args...), ""))
	}
	if s.Name == "" {
		report("$.Name", "Name is required")
	}
	if !s.Address.IsValid() {
		report("$.Address", "Address is required")
	}
	if !s.Listen.Peers.IsValid() {
		report("$.Listen.Peers", "Listen.Peers is required")
	}
	if len(s.Seeds) == 0 {
		report("$.Seeds", "at least one seed is required")
	}
	if !s.Listen.Callers.IsValid() && !s.Listen.Control.IsValid() {
		report("$.Listen", "Listen.Callers or Listen.Control is required")
	}
	if s.Listen.Callers.IsValid() && !s.Listen.Ready.IsValid() {
		report("$.Listen.Ready", "Listen.Ready is required beside Listen.Callers")
	}
	if s.Listen.Control.IsValid() && s.DataFolder == "" {
		report("$.DataFolder", "DataFolder is required beside Listen.Control")
	}
	if s.MemoryMB < 0 {
		report("$.MemoryMB", "MemoryMB must not be negative")
	}
	if s.Files < 0 {
		report("$.Files", "Files must not be negative")
	}
	if s.Losses < 0 {
		report("$.Losses", "Losses must not be negative")
	}
	if s.Shutdown <= 0 {
		report("$.ShutdownMillis", "ShutdownMillis must be positive")
	}
	if s.Retry.Window <= 0 {
		report("$.Retry.WindowSeconds", "WindowSeconds must be positive")
	}
	if s.Rates.Window < 0 || s.Rates.Overage < 0 || s.Rates.Slack < 0 {
		report("$.Rates", "WindowSeconds, Overage and Slack must not be negative")
	}
	return found
}
