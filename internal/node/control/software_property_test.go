package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

var noContext = context.Background()

// modelStep is one step of a schedule of a softwareModel.
type modelStep struct{ kind, a, b int }

// Kinds of steps.
const (
	waitStep = iota
	suspendStep
	wakeStep
	reportStep
	deliverStep
	reachStep
	leaderStep
	joinStep
	restartStep
	leaveStep
	announceStep
	beginStep
	continueStep
	takeUpStep
	logStep
)

func (m *softwareModel) step(s modelStep) {
	entry, endpoint := m.entries[s.a%len(m.entries)], m.endpoints[s.a%len(m.endpoints)]
	version := fmt.Sprint("v", 2+m.versions-s.a%2*min(m.versions, 1)) // a new one, or the newest
	switch s.kind {
	case waitStep:
		m.wait([]time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second}[s.a%4])
	case suspendStep:
		m.suspend(entry, s.b%2 == 0)
	case wakeStep:
		m.wake(entry, s.b%2 == 0)
	case reportStep:
		m.report(entry)
	case deliverStep:
		m.deliver(entry)
	case reachStep:
		entry.reach = modelReach(s.b) % reaches
		m.note("%s reaches %v", entry.name, entry.reach)
	case leaderStep:
		m.replaceLeader(s.b%2 == 0, s.b%4 < 2)
	case joinStep:
		if len(m.endpoints) < 8 {
			m.join(version)
			m.versions += 1 - s.a%2*min(m.versions, 1)
		}
	case restartStep:
		m.restart(endpoint, version)
		m.versions += 1 - s.a%2*min(m.versions, 1)
	case leaveStep:
		m.note("%s leaves", endpoint.ID)
		endpoint.Leaving = true
	case announceStep:
		m.announce(endpoint, max(m.newest()-s.b%2, 0))
	case logStep:
		m.logDelay = []time.Duration{modelSlice, 5 * time.Second}[s.b%2]
		m.note("log takes %v", m.logDelay)
	case beginStep:
		if s.b%2 == 0 {
			clear(entry.conns)
		}
		for n := range entry.view.Endpoints(modelService) {
			m.begin(entry, n)
		}
	case continueStep:
		for _, stream := range m.streams[max(len(m.streams)-8, 0):] {
			m.continueWithin(stream, s.b)
		}
	case takeUpStep:
		for _, stream := range m.streams[max(len(m.streams)-8, 0):] {
			m.takeUp(stream, entry, s.b)
		}
	}
}

// runSchedule runs steps until a stream holds events of two versions, and returns the number of the last step.
func (m *softwareModel) runSchedule(schedule []modelStep) int {
	for n, s := range schedule {
		if m.step(s); m.broken != nil {
			return n
		}
	}
	return len(schedule)
}

// drawSchedule draws rounds of faults, mostly of one entry, and changes, after which streams begin at other entries and are taken up at that one.
func drawSchedule(random *rand.Rand) (schedule []modelStep) {
	victim := 0
	add := func(least, most, shift int, kinds ...int) {
		for range least + random.IntN(most-least+1) {
			s := modelStep{kinds[random.IntN(len(kinds))], random.IntN(64), random.IntN(64)}
			if random.IntN(4) > 0 && s.kind != waitStep {
				s.a = victim + shift
			}
			schedule = append(schedule, s)
		}
	}
	for range 3 {
		victim = random.IntN(modelEntries)
		early := random.IntN(2) // whether leaders are replaced before a version joins
		add(0, 2, 0, suspendStep, suspendStep, wakeStep, reachStep, reachStep, reachStep, logStep)
		add(0, early, 0, leaderStep)
		add(0, early, 0, waitStep)
		add(0, 2, 0, joinStep, joinStep, joinStep, restartStep, leaveStep, announceStep)
		add(0, 1, 0, suspendStep, wakeStep, reachStep, reportStep)
		add(0, 2, 0, waitStep)
		add(0, 1-early, 0, leaderStep)
		add(0, 1, 0, waitStep)
		add(1, 2, 1, beginStep)
		add(0, 1, 0, waitStep, leaderStep)
		add(0, 2, 0, wakeStep, wakeStep, wakeStep, deliverStep, reportStep, takeUpStep)
		add(1, 3, 0, takeUpStep, takeUpStep, continueStep)
	}
	return schedule
}

// shorten removes steps from a schedule that fails, as long as it still does.
func shorten(schedule []modelStep, fails func([]modelStep) bool) []modelStep {
	for n := len(schedule) - 1; n >= 0; n-- {
		if shorter := append(append([]modelStep(nil), schedule[:n]...), schedule[n+1:]...); fails(shorter) {
			schedule = shorter
		}
	}
	return schedule
}

// modelSchedules is the number of schedules, which take some seconds with the race detector.
const modelSchedules = 1500

// searchJoined runs drawn schedules until a stream holds events of two versions, and returns what has happened there.
func searchJoined(count int, version string, without ...modelGuard) (seed int, trace []string, broken error) {
	for seed := range count {
		schedule := drawSchedule(rand.New(rand.NewPCG(uint64(seed), 42)))
		run := func(s []modelStep) *softwareModel {
			m := newSoftwareModel(version, without...)
			m.runSchedule(s)
			return m
		}
		if m := run(schedule); m.broken != nil {
			m = run(shorten(schedule, func(s []modelStep) bool { return run(s).broken != nil }))
			return seed, m.trace, m.broken
		}
	}
	return 0, nil, nil
}

// Entries are suspended and cut off, leaders are replaced, and endpoints of other software versions join, leave and restart under their identities, in
// random orders. Guards against streams that hold events of two versions, whatever entry continues them.
func TestNoOrderOfEventsJoinsVersions(t *testing.T) {
	t.Parallel()
	count := modelSchedules
	if n, err := strconv.Atoi(os.Getenv("MODEL_SCHEDULES")); err == nil {
		count = n
	}
	seed, trace, broken := searchJoined(count, "v1")
	if broken != nil {
		t.Errorf("seed %d: %v\n%s", seed, broken, strings.Join(trace, "\n"))
	}
}

// Guards against a model that finds nothing: without one of the rules, versions are joined.
func TestModelFindsEachMissingRule(t *testing.T) {
	t.Parallel()
	for _, guard := range []modelGuard{lease, sentTime, sameVersion, formerLeader, oldListing, mixedListing} {
		t.Run(string(guard), func(t *testing.T) {
			t.Parallel()
			_, _, broken := searchJoined(modelSchedules, "v1", guard)
			quicktest.New(t).Check(broken, quicktest.IsNotNil)
		})
	}
}
