package matrix

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/state/registry"
)

var (
	notRunOrOpen = []Outcome{NotRun, Unknown}
	open         = []Outcome{Unknown}
)

// Faults returns the rows of the matrix.
func Faults() []Fault {
	return []Fault{
		{
			Name: "engine restarts empty", Strike: (*Harness).restartEngines, Operator: []event.ID{event.EndpointRestarted},
			Allowed: map[Probe][]Outcome{Completion: notRunOrOpen}, Must: true,
		},
		{
			Name: "adapter load fails", Strike: func(h *Harness) { h.failLoads.Store(2) },
			Operator: []event.ID{event.LoadFailed}, Allowed: map[Probe][]Outcome{Completion: {NotRun}},
		},
		{
			Name: "key withdrawn while connected", Strike: (*Harness).withdrawProbeKey,
			Operator: []event.ID{event.StreamRevoked, event.RequestRefused},
			Allowed:  map[Probe][]Outcome{Completion: notRunOrOpen, Order: notRunOrOpen},
		},
		{
			Name: "control instance silently isolated", Strike: (*Harness).isolateCoordinator, Heal: (*Harness).healNetwork,
			Operator: []event.ID{event.EndpointReleased},
			Allowed:  map[Probe][]Outcome{Completion: notRunOrOpen, Order: notRunOrOpen, Change: notRunOrOpen},
		},
		{
			Name: "operators race and resend", Strike: (*Harness).raceOperators,
			Allowed: map[Probe][]Outcome{Change: {NotRun}},
		},
		{
			Name: "second voter lost after a repair", Prepare: (*Harness).repairFirstVoter, Strike: (*Harness).loseSecondVoter,
			Heal: (*Harness).returnSecondVoter, Operator: []event.ID{event.VoterRoleChanged},
			Allowed: map[Probe][]Outcome{Order: notRunOrOpen, Change: notRunOrOpen},
		},
		{
			Name: "restart after hundreds of changes", Prepare: (*Harness).manyChanges, Strike: (*Harness).restartVoter,
			Heal:     (*Harness).awaitRestart,
			Operator: []event.ID{event.VoterStarted}, Must: true,
			Allowed: map[Probe][]Outcome{Order: notRunOrOpen, Change: notRunOrOpen},
		},
		{
			Name: "connections silent for good", Strike: (*Harness).silenceConnections,
			Operator: []event.ID{event.ConnectionSilent, event.StreamCut},
			Allowed:  map[Probe][]Outcome{Completion: open, Order: open, Change: open},
		},
		{
			Name: "data centre cut off", Strike: (*Harness).cutDataCentre, Heal: (*Harness).healNetwork,
			Allowed: map[Probe][]Outcome{Order: notRunOrOpen, Change: notRunOrOpen},
		},
		{
			Name: "popularity shift", Strike: (*Harness).shiftPopularity, Allowed: map[Probe][]Outcome{},
		},
		{
			Name: "endpoint leaving", Strike: (*Harness).leave, Operator: []event.ID{event.EndpointReleased},
			Allowed: map[Probe][]Outcome{},
		},
		{
			Name: "planned stop", Strike: (*Harness).stopEntry, Heal: (*Harness).startEntry,
			Operator: []event.ID{event.InstanceDraining, event.InstanceStopped}, Must: true,
			Allowed: map[Probe][]Outcome{Change: notRunOrOpen},
		},
		{
			Name: "answer late or crossed", Strike: (*Harness).crossAnswers, Operator: []event.ID{event.AnswerDiscarded},
			Allowed: map[Probe][]Outcome{Completion: open, Order: open},
		},
	}
}

// restartEngines restarts the engines of the first data centre.
func (h *Harness) restartEngines() {
	for _, e := range h.Endpoints {
		if e.Engine != nil && e.DataCentre == h.first() {
			e.Engine.Restart()
		}
	}
}

func (h *Harness) withdrawProbeKey() {
	h.background(func() { h.withdraw(h.probeKey) })
}

// isolateCoordinator cuts the coordinator of the first data centre off from all instances, without a reset.
func (h *Harness) isolateCoordinator() {
	name := h.entry().Current().Coordinator()
	for _, i := range h.Instances {
		if i.Settings.Name == name {
			h.isolate(i)
		}
	}
}

func (h *Harness) healNetwork() { h.net.HealAll() }

// raceOperators sends two changes under one expected revision and one of them twice.
func (h *Harness) raceOperators() {
	revision := h.entry().Current().Revision()
	for n, i := range []int{0, 0, len(h.Instances) - 1} {
		c := h.command(fmt.Sprintf("race-%d", n/2), fmt.Sprintf("race-%d", n/2))
		c.ExpectedRevision = revision
		h.background(func() { _, _ = h.propose(h.Instances[i], c) })
	}
}

// repairFirstVoter loses a voter with its disk and lets it join anew.
func (h *Harness) repairFirstVoter() {
	v := h.voter(1)
	h.crash(v)
	h.must(h.wipe(v))
	h.must(h.Restart(v))
	h.waitFor(func() bool { return v.Ready() && v.Current().Revision() >= h.entry().Current().Revision() })
}

func (h *Harness) loseSecondVoter() {
	h.isolate(h.voter(2))
}

func (h *Harness) returnSecondVoter() { h.healNetwork() }

// manyChanges applies hundreds of changes before the probe, many at a time, since each waits until it is in force.
func (h *Harness) manyChanges() {
	const changes, atOnce = 300, 60
	var group errgroup.Group
	group.SetLimit(atOnce)
	for n := range changes {
		name := fmt.Sprintf("many-%d", n)
		group.Go(func() error {
			_, err := h.propose(h.entry(), h.command(name, name))
			return err
		})
	}
	h.must(group.Wait())
}

// restartVoter restarts a voter of another data centre from its disk.
func (h *Harness) restartVoter() {
	v := h.voter(1)
	h.restartBegun.Store(true)
	h.background(func() {
		defer close(h.restarted)
		h.must(h.StopInstance(v))
		h.must(h.Restart(v))
	})
}

func (h *Harness) awaitRestart() {
	if h.restartBegun.Load() {
		<-h.restarted
	}
	h.waitFor(func() bool { return h.voter(1).Ready() })
}

// silenceConnections makes all open connections of the probe's entry drop everything; new ones work.
func (h *Harness) silenceConnections() {
	for _, e := range h.Endpoints {
		h.net.Silence(h.entry().Host, e.Address.Addr())
	}
	for _, i := range h.Instances {
		h.net.Silence(h.entry().Host, i.Host)
	}
}

// cutDataCentre cuts the first data centre off from the others.
func (h *Harness) cutDataCentre() {
	for _, a := range h.Instances {
		for _, b := range h.Instances {
			if a.Settings.DataCentre == h.first() && b.Settings.DataCentre != h.first() {
				h.net.Cut(a.Host, b.Host)
			}
		}
	}
}

// shiftPopularity asks for many adapters at once that nobody has asked for before.
func (h *Harness) shiftPopularity() {
	const wanted = 8
	for n := range wanted {
		h.background(func() {
			name := fmt.Sprintf("draft-%02d", 3*(n+1))
			h.complete(h.entry(), h.otherKey(), name, 8)
		})
	}
}

// leave makes one engine of the first data centre announce that it leaves.
func (h *Harness) leave() {
	for _, e := range h.Endpoints {
		if e.Engine != nil && e.DataCentre == h.first() {
			e.Engine.Leave()
			h.mu.Lock()
			defer h.mu.Unlock()
			h.left, h.leftAt = e, time.Now()
			return
		}
	}
}

// stopEntry stops the probe's entry as an operator does.
func (h *Harness) stopEntry() {
	entry := h.entry()
	h.stopBegun.Store(true)
	h.background(func() {
		defer close(h.stopped)
		h.must(h.StopInstance(entry))
	})
}

func (h *Harness) startEntry() {
	if !h.stopBegun.Load() {
		return
	}
	<-h.stopped
	h.must(h.Restart(h.entry()))
}

// crossAnswers makes engines answer the next attempts late and with another attempt's identifier.
func (h *Harness) crossAnswers() { h.crossed.Store(2) }

// command adds an adapter with one version.
func (h *Harness) command(requestID, adapter string) registry.Command {
	return registry.Command{RequestID: requestID, Operator: "matrix", At: time.Now(), Changes: []registry.Object{
		{Kind: registry.KindAdapter, Name: adapter, Adapter: &registry.Adapter{
			Customer: probeCustomer, Model: "quill", DefaultVersion: "v1",
		}},
		{Kind: registry.KindVersion, Name: adapter + "@v1", Version: &registry.Version{
			Adapter: adapter, Source: adapter + "/v1", State: registry.VersionActive,
		}},
	}}
}
