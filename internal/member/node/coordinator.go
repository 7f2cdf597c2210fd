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
	// termShift leaves room for random bits, so that the terms of two coordinators differ even if all
	// keepers were restarted in between.
	termShift = 16
	// maxTerm bounds terms reported by instances, so that a faulty one cannot use them up.
	maxTerm = 1 << 62
)

// coordinator is the state of one term. It is guarded by the mutex of the node.
type coordinator struct {
	options   Options
	lease     uint64 // term of the lease
	term      uint64 // term of the view; it rises with each one that an instance has seen
	table     *assign.Table
	directory *directory.Directory
	detector  *detector.Detector
	alive     map[string]heardBy
	publisher publisher
	followers map[string]*follower
	dirty     bool
}

// heardBy is what an instance has last reported as announced to it.
type heardBy struct {
	digest uint64
	names  map[string]uint64 // incarnation by name
	again  time.Time         // when to ask for the list again; zero unless an entry was refused
}

// follower is the state of pushing the view to an instance.
type follower struct {
	has     ViewID
	pushing bool
	retryAt time.Time
}

// newCoordinator starts a term from the view that this instance has, so that instances keep what
// they know while the coordinator learns.
func newCoordinator(now time.Time, o Options, round uint64, v *view) *coordinator {
	c := &coordinator{
		options:   o,
		lease:     round,
		term:      newTerm(max(round, v.id.Term>>termShift+1)),
		directory: directory.New(o.directoryOptions(o.Timing.Length + o.Timing.Interval)...),
		detector:  detector.New(detector.WithInterval(o.Timing.Interval), detector.WithDelay(o.Timing.Interval/2, 2*o.Timing.Interval)),
		alive:     map[string]heardBy{},
		publisher: publisher{view: v.clone()},
		followers: map[string]*follower{},
		dirty:     true,
	}
	c.table = assign.New(now, o.assignOptions(assign.WithSuspect(c.detector.Suspect))...)
	for _, i := range v.instances {
		_, _ = c.directory.Heartbeat(now, i) // an entry that no longer fits is left out
		c.followers[i.Name] = &follower{has: v.id}
	}
	for _, e := range v.endpoints {
		_, _ = c.directory.Announce(now, e.Announcement) // an entry that no longer fits is left out
	}
	return c
}

func newTerm(round uint64) uint64 {
	return round<<termShift | rand.Uint64()>>(64-termShift)
}

// observe raises the term above one that an instance has seen.
func (c *coordinator) observe(term uint64) {
	if term > c.term && term < maxTerm {
		c.term = newTerm(term>>termShift + 1)
		c.dirty = true
	}
}

// renew takes the renewal of an instance.
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
	c.observe(r.View.Term)
	c.follower(from).has = r.View
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
	return c.describe(from, renewReply{Reply: reply, NeedAlive: needAlive})
}

// describe adds what the owner needs to know about its endpoints.
func (c *coordinator) describe(from string, reply renewReply) renewReply {
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

// refresh takes what an instance has heard of endpoints and tells whether the digest is known.
func (c *coordinator) refresh(now time.Time, from string, r renew) bool {
	if r.Listed {
		heard := heardBy{digest: r.Alive, names: map[string]uint64{}}
		for _, a := range r.Endpoints {
			if c.announce(now, a) {
				heard.names[a.Name] = a.Incarnation
			} else {
				heard.again = now.Add(c.options.Timing.Length)
			}
		}
		c.alive[from] = heard
		return true
	}
	heard, known := c.alive[from]
	if !known || heard.digest != r.Alive {
		return false
	}
	if !heard.again.IsZero() && !now.Before(heard.again) {
		return false // what was refused may be acceptable by now
	}
	for name, incarnation := range heard.names {
		if !c.directory.Refresh(now, name, incarnation) {
			return false // another incarnation was announced elsewhere, or the entry has expired
		}
	}
	return true
}

// announce takes an announcement that reached any instance and tells whether it counts.
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

// decide expires, assigns and publishes; it returns the new assignments.
func (c *coordinator) decide(now time.Time) (changes []assign.Change, gone directory.Removed) {
	gone = c.directory.Expire(now)
	for _, name := range gone.Endpoints {
		c.table.RemoveEndpoint(name)
	}
	for _, name := range gone.Instances {
		c.detector.Remove(name)
		delete(c.alive, name)
		delete(c.followers, name)
	}
	changes = c.table.Decide(now)
	if c.dirty || len(changes)+len(gone.Endpoints)+len(gone.Instances) > 0 || c.table.Changed() {
		c.dirty = false
		c.publish(now)
	}
	return changes, gone
}

// publish builds the view from directory and table. While the table learns, an endpoint that no
// owner has reported yet keeps the owner it had in the last view.
func (c *coordinator) publish(now time.Time) {
	s := c.directory.Snapshot()
	instances := make(map[string]directory.Instance, len(s.Instances))
	for _, i := range s.Instances {
		i.Deadline = time.Time{}
		instances[i.Name] = i
	}
	endpoints := make(map[string]placed, len(s.Endpoints))
	for _, e := range s.Endpoints {
		p := placed{Announcement: e.Announcement, Owner: c.table.Owner(e.Name)}
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

// push is a delta on its way to an instance.
type push struct {
	lead  *coordinator
	to    string
	delta delta
}

// pushes returns the deltas to send now to instances whose view is not the current one; limit bounds
// those on their way.
func (c *coordinator) pushes(now time.Time, limit int) []push {
	for _, f := range c.followers {
		if f.pushing {
			limit--
		}
	}
	var all []push
	for _, name := range keys(c.publisher.view.instances) {
		f := c.follower(name)
		if len(all) >= limit {
			break
		}
		if f.pushing || f.has == c.publisher.view.id || now.Before(f.retryAt) {
			continue
		}
		f.pushing = true
		all = append(all, push{lead: c, to: name, delta: c.publisher.since(f.has)})
	}
	return all
}

// pushed takes the outcome of a push.
func (c *coordinator) pushed(now time.Time, to string, reply viewReply, err error) {
	f, known := c.followers[to]
	if !known {
		return
	}
	f.pushing = false
	if err != nil {
		f.retryAt = now.Add(c.options.Timing.Interval)
		return
	}
	f.has = reply.View
	c.observe(reply.View.Term)
}
