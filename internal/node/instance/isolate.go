package instance

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/repeat"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/serve/isolate"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// isolation finds requests that crash endpoints: the recorder of this instance and, on voters, the collector of the leader.
type isolation struct {
	recorder  *isolate.Recorder
	collector *isolate.Collector
	voters    *voterCheck // nil unless this instance is a voter
}

func newIsolation(i *Instance) *isolation {
	st := i.state
	voters := &voterCheck{self: i.settings.Name, voters: st.voters, registry: st.registry, call: i.links.Call, checked: map[string]bool{}}
	recorder := isolate.New(isolate.With(func(o *isolate.Options) {
		o.Logger, o.Now, o.Wall, o.Dial, o.Call, o.Registry = i.options.Logger, i.options.Now, i.options.Wall, i.options.Dial, i.links.Call, st.registry
		o.Leader = st.leader
		o.Serves = func(e quarantine.Incarnation) bool { return i.targets.serves(e) }
		o.Instances = func() []string { return append(st.distribution.localInstances(), i.settings.Name) }
		o.Centres = st.distribution.remoteInstances
		o.Term = st.term
		o.Supported = voters.supported
		o.Propose = func(ctx context.Context, c registry.Command) error {
			result, err := st.change(ctx, c)
			if err != nil {
				return err
			}
			return result.Err()
		}
	}))
	is := &isolation{recorder: recorder, collector: isolate.NewCollector(recorder)}
	if st.config != nil {
		is.voters = voters
	}
	is.recorder.Register(i.mux)
	is.collector.Register(i.mux)
	return is
}

func (is *isolation) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return is.recorder.Run(ctx) })
	if is.voters != nil {
		group.Go(func() error { return is.collector.Run(ctx) })
		group.Go(func() error { return is.voters.run(ctx) })
	}
	return group.Wait()
}

// term returns the term of the configuration log while this instance leads it.
func (st *state) term() (term uint64, leads bool) {
	if st.config == nil {
		return 0, false
	}
	s := st.config.Status()
	return s.Term, s.Role == consensus.Leader
}

// voterCheckInterval is the time between questions to voters of which it is not known whether they can store quarantined signatures.
const voterCheckInterval = 2 * time.Second

// voterCheck finds out whether all voters know the kind Quarantine. Every voter asks the others before the answer is needed, so that a voter
// that is lost later prevents no decision.
type voterCheck struct {
	self     string
	voters   func() []string
	registry *registry.Registry
	call     peer.Caller
	mu       sync.Mutex
	checked  map[string]bool // voters that know the kind
}

func (v *voterCheck) run(ctx context.Context) error {
	return repeat.Every(ctx, voterCheckInterval, func(ctx context.Context) {
		for _, name := range v.unchecked() {
			v.ask(ctx, name)
		}
	})
}

func (v *voterCheck) unchecked() (names []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, name := range v.voters() {
		if !v.checked[name] && name != v.self {
			names = append(names, name)
		}
	}
	return names
}

func (v *voterCheck) ask(ctx context.Context, name string) {
	ctx, cancel := context.WithTimeout(ctx, describeTimeout)
	defer cancel()
	var d Description
	if v.call(ctx, name, describeMethod, struct{}{}, &d) != nil || !d.StoresQuarantine {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checked[name] = true
}

// supported returns an error if a voter may not know the kind. Once the log holds such an object, no other voter can follow it.
func (v *voterCheck) supported() error {
	if v.registry.Count(registry.KindQuarantine) > 0 {
		return nil
	}
	if names := v.unchecked(); len(names) > 0 {
		return Error.New("voters %v are not known to store quarantined signatures", names)
	}
	return nil
}
