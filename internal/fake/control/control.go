// Package control is an in-memory fake of the system behind the operators' API.
package control

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"lycheevale/internal/serve/operator"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
)

// Fake applies changes to a registry immediately; its function fields inject faults.
type Fake struct {
	Registry *registry.Registry
	// Before is called before each command is applied; an error rejects the command.
	Before func(registry.Command) error
	// After is called after each command is applied; its error is returned in place of the result.
	After func(registry.Command) error

	mu      sync.Mutex
	history []operator.WatchEvent
	changed chan struct{}
}

// New returns a fake with an empty registry.
func New() *Fake {
	noError := func(registry.Command) error { return nil }
	return &Fake{Registry: registry.New(), Before: noError, After: noError, changed: make(chan struct{})}
}

// System returns the operations for operator.WithSystem.
func (f *Fake) System() operator.System {
	return operator.System{
		Propose:   f.propose,
		Withdraw:  f.withdraw,
		Objects:   f.Registry.List,
		Object:    f.Registry.Get,
		Revision:  f.Registry.Revision,
		Status:    f.status,
		Endpoints: f.endpoints,
		Watch:     f.watch,
		Burn:      f.burn,
	}
}

func (f *Fake) propose(_ context.Context, c registry.Command) (operator.Outcome, error) {
	if err := f.Before(c); err != nil {
		return operator.Outcome{}, err
	}
	f.apply(c)
	if err := f.After(c); err != nil {
		return operator.Outcome{}, err
	}
	return operator.Outcome{Result: f.Registry.Apply(c), InForce: []string{"entry-1", "entry-2"}}, nil
}

func (f *Fake) apply(c registry.Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.Registry.Revision()
	result := f.Registry.Apply(c)
	if result.Revision == before || result.Error != "" {
		return
	}
	f.history = append(f.history, operator.WatchEvent{Revision: result.Revision, Objects: c.Changes})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Fake) withdraw(ctx context.Context, keyID string) (operator.Outcome, error) {
	o, ok := f.Registry.Get(registry.KindKey, keyID)
	if !ok || o.Key.Withdrawn {
		return operator.Outcome{Result: registry.Result{Revision: f.Registry.Revision()}}, nil
	}
	withdrawn := *o.Key
	withdrawn.Withdrawn = true
	o.Key = &withdrawn
	return f.propose(ctx, registry.Command{RequestID: "withdraw " + keyID, Changes: []registry.Object{o}})
}

// Time is the fixed time in the results of the fake.
var Time = time.Date(2026, time.March, 2, 9, 30, 0, 0, time.UTC)

func (f *Fake) status(context.Context) (operator.Status, error) {
	return operator.Status{
		Instance: "entry-1", DataCentre: "suva-a", Region: "suva", Version: "dev", Started: Time, Ready: true,
		Revision: f.Registry.Revision(), Leader: "entry-1", Coordinator: "entry-2", VoterHeard: Time, Owned: 1,
		Members: []operator.Member{{
			Name: "entry-2", DataCentre: "suva-a", Address: netip.MustParseAddrPort("10.2.0.2:8082"),
			Roles: []string{"Keeper"}, Reachable: true, Revision: f.Registry.Revision(),
		}},
	}, nil
}

func (f *Fake) burn() burn.Snapshot {
	r := burn.New()
	r.Observe(time.Now(), burn.Outcome{Customer: "banksia", Service: "ledger"})
	return r.Snapshot(time.Now())
}

func (f *Fake) endpoints(context.Context) ([]operator.Endpoint, error) {
	return []operator.Endpoint{{
		Name: "koro-lm-1", Service: "koro-chat", Model: "koro-lm", DataCentre: "suva-a",
		Address: netip.MustParseAddrPort("10.2.1.1:9000"), State: "Ready", Owner: "entry-1",
		Incarnation: 3, Slots: 8, Resident: 5, Running: 4, Queued: 2, Reported: Time,
	}}, nil
}

func (f *Fake) watch(ctx context.Context, from uint64, send func(operator.WatchEvent) error) error {
	for {
		f.mu.Lock()
		history, changed := f.history, f.changed
		f.mu.Unlock()
		for _, e := range history {
			if e.Revision <= from {
				continue
			}
			if err := send(e); err != nil {
				return err
			}
			from = e.Revision
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}
