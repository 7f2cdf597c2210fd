package isolate

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

const (
	decideInterval = 100 * time.Millisecond
	// fastInterval and slowInterval are the times between two collections, soon after a crash and while there are only suspects or
	// quarantined signatures.
	fastInterval   = 200 * time.Millisecond
	slowInterval   = time.Second
	fastTime       = 2 * time.Second // after a crash
	collectTimeout = 500 * time.Millisecond
	proposeTimeout = 3 * time.Second
	// settle is the longest time from the first report of a crash to the end of the next collection, which asks about its suspects.
	settle = fastInterval + collectTimeout + 2*decideInterval
	// operatorName is the operator of the changes in the log.
	operatorName = "quarantine"
)

// Collector decides at the leader of the configuration log which signatures are quarantined. A new leader collects everything anew.
type Collector struct {
	options  Options
	recorder *Recorder

	mu        sync.Mutex
	fastUntil time.Time

	// The rest is used by Run only.
	detector        *quarantine.Detector // nil unless this instance leads
	term            uint64
	revision        uint64 // of the configuration that the detector knows
	quarantined     []quarantine.Signature
	suspects        []quarantine.Signature
	suspectRevision uint64
	received        map[string]uint64
	trials          map[string]permits
	collectAt       time.Time
	blocked         bool // that a decision cannot be stored was logged
}

// NewCollector returns the collector of an instance, with the options of its recorder.
func NewCollector(r *Recorder) *Collector { return &Collector{options: r.options, recorder: r} }

// Register registers the collector's method.
func (c *Collector) Register(m *peer.Mux) {
	m.Handle(methodNotify, peer.Typed(func(context.Context, string, empty) (empty, error) {
		if _, leads := c.options.Term(); !leads {
			return empty{}, Error.New("instance does not lead the configuration log")
		}
		c.hasten()
		return empty{}, nil
	}))
}

func (c *Collector) hasten() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fastUntil = c.options.Now().Add(fastTime)
}

// Run collects and decides while this instance leads, until ctx ends.
func (c *Collector) Run(ctx context.Context) error { return repeat.Every(ctx, decideInterval, c.step) }

func (c *Collector) step(ctx context.Context) {
	term, leads := c.options.Term()
	if !leads {
		c.detector = nil
		return
	}
	if c.detector == nil || term != c.term {
		c.begin(term)
	}
	c.readStored()
	now := c.options.Now()
	if interval, due := c.interval(now); due && !now.Before(c.collectAt) {
		c.collectAt = now.Add(interval)
		c.collect(ctx)
	}
	c.decide(ctx)
}

// begin starts a term without records; all instances report theirs again.
func (c *Collector) begin(term uint64) {
	options := quarantine.DefaultOptions()
	options.Settle = settle
	c.detector, c.term, c.blocked = quarantine.NewDetector(options), term, false
	c.quarantined, c.revision, c.suspects, c.suspectRevision = nil, 0, nil, 0
	c.received, c.trials, c.collectAt = map[string]uint64{}, map[string]permits{}, c.options.Now()
	c.hasten()
}

// readStored passes the quarantined signatures of the configuration to the detector.
func (c *Collector) readStored() {
	revision := c.options.Registry.Revision()
	if revision == c.revision {
		return
	}
	c.revision = revision
	if list := stored(c.options.Registry); !slices.Equal(list, c.quarantined) {
		c.quarantined = list
		c.detector.SetQuarantined(c.options.Now(), list)
		c.findSuspects()
	}
}

func (c *Collector) findSuspects() {
	c.suspects = c.detector.Suspects()
	c.suspectRevision = revisionOf(c.suspects)
}

// interval returns the time between two collections; due is false while there is nothing to collect.
func (c *Collector) interval(now time.Time) (interval time.Duration, due bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.fastUntil) {
		return fastInterval, true
	}
	return slowInterval, len(c.suspects) > 0
}

// collect asks the instances of all data centres and records their answers.
func (c *Collector) collect(ctx context.Context) {
	request := collectRequest{Term: c.term, Received: c.received, SuspectRevision: c.suspectRevision, Suspects: c.suspects, Trials: c.trials}
	reports := c.gather(ctx, request)
	now := c.options.Now()
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		one := reports[name]
		c.received[name] = one.ID
		delete(c.trials, name)
		c.detector.Record(now, name, one.Crashes)
		c.detector.RecordBegins(now, one.Begins)
		if trials := c.detector.Asked(now, one.Refused); len(trials) > 0 {
			c.trials[name] = permits{one.ID, trials}
			event.Log(ctx, c.options.Logger, event.PartTried, slog.String("Entry", name), slog.Any("Parts", trials))
		}
		if len(one.Crashes) > 0 {
			c.hasten()
		}
	}
	c.findSuspects()
}

// gather returns the answers of all instances that can be reached, by name.
func (c *Collector) gather(ctx context.Context, q collectRequest) map[string]report {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	var mu sync.Mutex
	reports := map[string]report{}
	add := func(further map[string]report) {
		mu.Lock()
		defer mu.Unlock()
		maps.Copy(reports, further)
	}
	var group errgroup.Group
	group.Go(func() error {
		add(c.recorder.collect(ctx, q))
		return nil
	})
	for _, name := range c.options.Centres() {
		group.Go(func() error {
			var reply collectReply
			if c.options.Call(ctx, name, methodCollect, q, &reply) == nil { // another instance of the data centre is asked the next time
				add(reply.Reports)
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// decide stores further quarantined signatures and released ones in the configuration, from which all instances learn of them.
func (c *Collector) decide(ctx context.Context) {
	if len(c.suspects) == 0 {
		return
	}
	now := c.options.Now()
	blamed, released := c.detector.Blame(now), c.detector.Release(now)
	if len(blamed)+len(released) == 0 {
		return
	}
	err := c.options.Supported()
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		err = c.options.Propose(ctx, registry.Command{
			RequestID: uuid.NewString(), Operator: operatorName, At: c.options.Wall(), Changes: c.changes(blamed, released),
		})
	}
	if err != nil && c.blocked {
		return
	}
	c.blocked = err != nil
	event.Log(ctx, c.options.Logger, event.PartsQuarantined, slog.Uint64("Term", c.term), slog.Any("Added", blamed),
		slog.Any("Released", released), slog.Any("Error", err))
}

func (c *Collector) changes(blamed, released []quarantine.Signature) (changes []registry.Object) {
	for _, s := range blamed {
		spec := registry.Quarantine{Service: s.Service, Signature: s.ID}
		changes = append(changes, registry.Object{Kind: registry.KindQuarantine, Name: registry.QuarantineName(spec), Quarantine: &spec})
	}
	for _, s := range released {
		name := registry.QuarantineName(registry.Quarantine{Service: s.Service, Signature: s.ID})
		changes = append(changes, registry.Object{Kind: registry.KindQuarantine, Name: name, Deleted: true})
	}
	return changes
}
