package assign

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Change is an assignment that Decide made.
type Change struct {
	Endpoint string
	Owner    string
	Fence    uint64
}

// Decide frees endpoints whose previous owner must have stopped by now, assigns free endpoints and
// starts to drain endpoints in order to balance the instances. It returns the new assignments.
func (t *Table) Decide(now time.Time) []Change {
	names := t.names()
	for _, name := range names {
		t.lapse(now, t.entries[name])
	}
	t.expireInstances(now)
	t.drainLeaving()
	live := t.eligible(now)
	if t.Learning(now) || len(live) == 0 {
		return nil
	}
	changes := t.assignFree(now, names, live)
	t.balance(live)
	return changes
}

// lapse ends the ownership of an owner that did not renew.
func (t *Table) lapse(now time.Time, e *entry) {
	over := !now.Before(e.deadline)
	if e.owned() && !t.options.AwaitDeadline() {
		over = over || t.options.Suspect(now, e.owner)
	}
	if e.state == Unknown && !t.options.Learn() {
		over = true
	}
	if !over {
		return
	}
	if e.owned() {
		e.notBefore = now
		if t.options.AwaitDeadline() {
			e.notBefore = e.deadline.Add(t.commandTime(e))
		}
	}
	t.step(e, eventLapse)
	if !now.Before(e.notBefore) && t.settled(now, e) && t.step(e, eventElapse) {
		t.free(e)
	}
}

// expireInstances removes instances that stopped renewing and own nothing.
func (t *Table) expireInstances(now time.Time) {
	for name, i := range t.instances {
		if now.After(i.renewBy.Add(t.options.waitTime())) && len(t.byOwner[name]) == 0 {
			delete(t.instances, name)
			delete(t.byOwner, name)
		}
	}
}

// drainLeaving starts to drain the endpoints of leaving instances.
func (t *Table) drainLeaving() {
	for name, i := range t.instances {
		if !i.leaving {
			continue
		}
		for _, e := range t.byOwner[name] {
			t.step(e, eventDrain)
		}
	}
}

// eligible returns the instances that may get endpoints, with the number of endpoints of each.
func (t *Table) eligible(now time.Time) map[string]int {
	live := map[string]int{}
	for name, i := range t.instances {
		if now.Before(i.renewBy) && !i.leaving && !t.options.Suspect(now, name) {
			live[name] = t.load(name)
		}
	}
	t.limitOwners(live)
	return live
}

// limitOwners removes the instances that are not needed when each owner gets EndpointsPerOwner endpoints; it keeps those
// with the most endpoints. An owner that sees several endpoints of a model places requests better than several owners
// that see one each.
func (t *Table) limitOwners(live map[string]int) {
	owners := (len(t.entries) + t.options.EndpointsPerOwner - 1) / t.options.EndpointsPerOwner
	if owners == 0 || len(live) <= owners {
		return
	}
	names := slices.SortedFunc(maps.Keys(live), func(a, b string) int {
		return cmp.Or(cmp.Compare(live[b], live[a]), cmp.Compare(a, b))
	})
	for _, name := range names[owners:] {
		delete(live, name)
	}
}

// load returns the number of endpoints of an instance, without those that it is asked to release.
func (t *Table) load(owner string) int {
	n := 0
	for _, e := range t.byOwner[owner] {
		if e.state == Assigned {
			n++
		}
	}
	return n
}

func (t *Table) assignFree(now time.Time, names []string, live map[string]int) []Change {
	var changes []Change
	for _, name := range names {
		e, known := t.entries[name]
		if !known || !t.assignable(now, e) {
			continue
		}
		fence, ok := t.nextFence()
		if !ok {
			break
		}
		owner := leastLoaded(live, name)
		t.step(e, eventAssign)
		e.inherited = false
		t.setOwner(e, owner, t.instances[owner].incarnation)
		e.fence = fence
		e.offerUntil = now.Add(t.options.Length)
		t.extend(now, e)
		live[owner]++
		changes = append(changes, Change{Endpoint: name, Owner: owner, Fence: fence})
	}
	return changes
}

// assignable reports whether an endpoint may get an owner at now.
func (t *Table) assignable(now time.Time, e *entry) bool {
	if e.state != Free || !e.announced || !t.settled(now, e) {
		return false
	}
	return !e.Leaving || !t.options.SkipLeaving()
}

// nextFence returns a fencing number above all known ones, or false if all reserved ones are used.
func (t *Table) nextFence() (uint64, bool) {
	if !t.options.RaiseFence() {
		return 1, true
	}
	if t.highestFence >= t.fenceLimit {
		return 0, false
	}
	t.highestFence++
	return t.highestFence, true
}

// leastLoaded returns the instance with the fewest endpoints. Rendezvous hashing breaks ties, so that an
// endpoint returns to its owner after the owner was absent for a short time.
func leastLoaded(live map[string]int, endpoint string) string {
	best, bestScore := "", uint64(0)
	for name, n := range live {
		if best != "" && n > live[best] {
			continue
		}
		score := rendezvous(name, endpoint)
		if best == "" || n < live[best] || (n == live[best] && score > bestScore) {
			best, bestScore = name, score
		}
	}
	return best
}

func rendezvous(instance, endpoint string) uint64 {
	b := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String(instance))
	return xxhash.Sum64(append(b, endpoint...))
}

// balance starts to drain endpoints of instances that own at least two more than another one. It moves
// only the excess, at most MaxMoves endpoints at a time, because each move interrupts the queue of an
// endpoint.
func (t *Table) balance(live map[string]int) {
	moving := 0
	for _, e := range t.entries {
		if e.state == Assigned || !e.announced {
			continue
		}
		// Endpoints that are free or being released will go to the instances with the fewest.
		least, _ := extremes(live)
		live[least]++
		if e.state == Releasing {
			moving++
		}
	}
	for ; moving < t.options.MaxMoves; moving++ {
		least, most := extremes(live)
		if live[most]-live[least] < 2 || !t.drainOne(most) {
			return
		}
		live[most]--
		live[least]++
	}
}

// extremes returns the instances with the fewest and the most endpoints; ties are broken by name.
func extremes(live map[string]int) (least, most string) {
	for name, n := range live {
		if least == "" || n < live[least] || (n == live[least] && name < least) {
			least = name
		}
		if most == "" || n > live[most] || (n == live[most] && name < most) {
			most = name
		}
	}
	return least, most
}

func (t *Table) drainOne(owner string) bool {
	for _, name := range slices.Sorted(maps.Keys(t.byOwner[owner])) {
		e := t.byOwner[owner][name]
		if e.confirmed && !e.dropped && !e.Leaving && t.step(e, eventDrain) {
			return true
		}
	}
	return false
}
