package node

import (
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/detector"
	"lycheevale/internal/member/directory"
)

const (
	// termShift is the number of random low bits of a term. They make the terms of two coordinators differ
	// even if all keepers were restarted in between.
	termShift = 16
	// maxTerm limits the terms reported by instances, so that a faulty instance cannot exhaust them.
	maxTerm = 1 << 62
)

// coordinator is the state of the coordinator in one term. The mutex of the node guards it.
type coordinator struct {
	options   Options
	leaseTerm uint64 // term of the coordinator's lease
	term      uint64 // term of the view; raised above each higher term that an instance reports
	table     *assign.Table
	directory *directory.Directory
	detector  *detector.Detector
	announced map[string]announcedList
	publisher publisher
	followers map[string]*follower
	dirty     bool
}

// announcedList is what an instance has last reported as announced to it.
type announcedList struct {
	digest       uint64
	incarnations map[string]uint64 // incarnation by name
	relistAt     time.Time         // when to ask for the list again; zero unless an entry was refused
}

// follower is the state of pushing the view to an instance.
type follower struct {
	viewID  ViewID
	pushing bool
	retryAt time.Time
}

// newCoordinator starts a term with the current view of this instance, so that the instances keep their
// views while the coordinator waits for their renewals.
func newCoordinator(now time.Time, o Options, round uint64, v *view) *coordinator {
	c := &coordinator{
		options:   o,
		leaseTerm: round,
		term:      newTerm(max(round, v.id.Term>>termShift+1)),
		directory: directory.New(o.directoryOptions(o.Timing.OwnerLease + o.Timing.Interval)...),
		detector:  detector.New(detector.WithInterval(o.Timing.Interval), detector.WithDelay(o.Timing.Interval/2, 2*o.Timing.Interval)),
		announced: map[string]announcedList{},
		publisher: publisher{view: v.clone()},
		followers: map[string]*follower{},
		dirty:     true,
	}
	c.table = assign.New(now, o.assignOptions(assign.WithSuspect(c.detector.Suspect))...)
	for _, i := range v.instances {
		_, _ = c.directory.Heartbeat(now, i) // an entry that the directory refuses is left out
		c.followers[i.Name] = &follower{viewID: v.id}
	}
	for _, e := range v.endpoints {
		_, _ = c.directory.Announce(now, e.Announcement) // an entry that the directory refuses is left out
	}
	return c
}

func newTerm(round uint64) uint64 {
	return round<<termShift | rand.Uint64()>>(64-termShift)
}

// raiseTerm raises the term above one that an instance has reported.
func (c *coordinator) raiseTerm(term uint64) {
	if term > c.term && term < maxTerm {
		c.term = newTerm(term>>termShift + 1)
		c.dirty = true
	}
}

// renew handles the renewal of an instance.
func (c *coordinator) renew(now time.Time, from string, r renew) renewReply {
	known, _ := c.directory.Instance(from)
	address := known.Address
	if r.Address != nil {
		address = *r.Address
	}
	if !address.IsValid() {
		return renewReply{Reply: assign.Reply{NeedFull: true}}
	}
	changed, err := c.directory.Heartbeat(now, directory.Instance{Name: from, Address: address, Incarnation: r.Incarnation, Leaving: r.Leaving})
	if errs.Is(err, directory.ErrOutdated) {
		return renewReply{Outdated: c.directory.Incarnation(from)}
	}
	c.dirty = c.dirty || changed || len(r.Released) > 0
	c.detector.Heartbeat(now, from)
	c.raiseTerm(r.View.Term)
	c.follower(from).viewID = r.View
	needAlive := !c.refresh(now, from, r)
	reply, err := c.table.Renew(now, from, r.Renewal)
	if errs.Is(err, assign.ErrOutdated) {
		return renewReply{Outdated: c.table.Incarnation(from)}
	}
	if err != nil {
		return renewReply{Reply: assign.Reply{NeedFull: true}}
	}
	if r.Full {
		c.dirty = true
	}
	return c.addDetails(from, renewReply{Reply: reply, NeedAlive: needAlive})
}

// addDetails adds the announcements of the granted endpoints and the names of the leaving ones.
func (c *coordinator) addDetails(from string, reply renewReply) renewReply {
	for _, g := range reply.Grants {
		if e, ok := c.directory.Endpoint(g.Endpoint); ok {
			reply.Details = append(reply.Details, e.Announcement)
		}
	}
	for _, name := range c.table.Owned(from) {
		if e, ok := c.directory.Endpoint(name); ok && e.Leaving {
			reply.Leaving = append(reply.Leaving, name)
		}
	}
	return reply
}

// refresh extends the endpoints that have announced themselves to an instance. It returns false if the
// instance has to send the list of these endpoints.
func (c *coordinator) refresh(now time.Time, from string, r renew) bool {
	if r.Listed {
		list := announcedList{digest: r.Alive, incarnations: map[string]uint64{}}
		for _, a := range r.Endpoints {
			if c.announce(now, a) {
				list.incarnations[a.Name] = a.Incarnation
			} else {
				list.relistAt = now.Add(c.options.Timing.OwnerLease)
			}
		}
		c.announced[from] = list
		return true
	}
	list, known := c.announced[from]
	if !known || list.digest != r.Alive {
		return false
	}
	if !list.relistAt.IsZero() && !now.Before(list.relistAt) {
		return false // an announcement that was refused before may be accepted now
	}
	for name, incarnation := range list.incarnations {
		if !c.directory.Refresh(now, name, incarnation) {
			return false // another incarnation was announced elsewhere, or the entry has expired
		}
	}
	return true
}

// announce records an announcement that any instance received and reports whether it was accepted.
func (c *coordinator) announce(now time.Time, a directory.Announcement) bool {
	changed, err := c.directory.Announce(now, a)
	if err != nil {
		return false
	}
	c.dirty = c.dirty || changed
	e, _ := c.directory.Endpoint(a.Name)
	c.table.SetEndpoint(now, assign.Endpoint{
		Name:          e.Name,
		HighestFence:  e.HighestFence,
		ChecksFencing: e.ChecksFencing,
		Leaving:       e.Leaving,
	})
	return true
}

// decide removes expired entries, assigns endpoints and publishes the view. It returns the new assignments
// and the removed entries.
func (c *coordinator) decide(now time.Time) (changes []assign.Change, removed directory.Removed) {
	removed = c.directory.Expire(now)
	for _, name := range removed.Endpoints {
		c.table.RemoveEndpoint(name)
	}
	for _, name := range removed.Instances {
		c.detector.Remove(name)
		delete(c.announced, name)
		delete(c.followers, name)
	}
	changes = c.table.Decide(now)
	if c.dirty || len(changes)+len(removed.Endpoints)+len(removed.Instances) > 0 || c.table.Changed() {
		c.dirty = false
		c.publish(now)
	}
	return changes, removed
}

// publish builds the view from the directory and the table. While the table waits for renewals, an
// endpoint that no owner has reported yet keeps its owner from the last view.
func (c *coordinator) publish(now time.Time) {
	s := c.directory.Snapshot()
	instances := make(map[string]directory.Instance, len(s.Instances))
	for _, i := range s.Instances {
		i.Deadline = time.Time{}
		instances[i.Name] = i
	}
	endpoints := make(map[string]assignedEndpoint, len(s.Endpoints))
	for _, e := range s.Endpoints {
		p := assignedEndpoint{Announcement: e.Announcement, Owner: c.table.Owner(e.Name)}
		p.HighestFence = 0 // changes with each owner and matters to the coordinator only
		if p.Owner == "" && c.table.Learning(now) {
			p.Owner = c.publisher.view.endpoints[e.Name].Owner
		}
		endpoints[e.Name] = p
	}
	c.publisher.update(c.term, instances, endpoints)
}

func (c *coordinator) follower(name string) *follower {
	f, ok := c.followers[name]
	if !ok {
		f = &follower{}
		c.followers[name] = f
	}
	return f
}

// push is a delta that is being sent to an instance.
type push struct {
	lead  *coordinator
	to    string
	delta delta
}

// nextPushes returns the deltas to send now to instances whose view is outdated; limit bounds the number
// of deltas that are sent at the same time.
func (c *coordinator) nextPushes(now time.Time, limit int) []push {
	for _, f := range c.followers {
		if f.pushing {
			limit--
		}
	}
	var all []push
	for _, name := range sortedKeys(c.publisher.view.instances) {
		f := c.follower(name)
		if len(all) >= limit {
			break
		}
		if f.pushing || f.viewID == c.publisher.view.id || now.Before(f.retryAt) {
			continue
		}
		f.pushing = true
		all = append(all, push{lead: c, to: name, delta: c.publisher.since(f.viewID)})
	}
	return all
}

// finishPush records the outcome of a push.
func (c *coordinator) finishPush(now time.Time, to string, reply viewReply, err error) {
	f, known := c.followers[to]
	if !known {
		return
	}
	f.pushing = false
	if err != nil {
		f.retryAt = now.Add(c.options.Timing.Interval)
		return
	}
	f.viewID = reply.View
	c.raiseTerm(reply.View.Term)
}
