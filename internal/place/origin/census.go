package origin

import (
	"maps"
	"slices"
	"time"
)

// Census records which software versions have served each service lately, and so may have begun streams that are still to be continued. It reads no
// clock and does no I/O. It is not safe for concurrent use.
type Census struct {
	versions map[Software]*period
	revision uint64 // increases with each version that is added
	// expectUntil is the time until which versions may be missing, zero once it has passed.
	expectUntil time.Time
	restored    bool // what earlier leaders have stored is known
}

// period is the time in which a software version has served.
type period struct {
	since    time.Time // when it was first recorded here
	revision uint64    // of the census that has it
	until    time.Time // when an endpoint last served with it
	durable  bool      // it is stored, and so outlives this leader
	listed   bool      // endpoints have been listed with it, before which all entries were informed
	former   bool      // an earlier leader has stored it, and may have listed endpoints with it
}

// NewCensus returns an empty census.
func NewCensus() *Census { return &Census{versions: map[Software]*period{}} }

// Expect states that until a time, versions may be missing that an earlier leader has listed and not stored.
func (c *Census) Expect(until time.Time) { c.expectUntil = until }

// maxVersions limits the memory for versions of services; endpoints with further ones get no work.
const maxVersions = 10_000

// Observe records that an endpoint serves, or is about to serve, with a software version.
func (c *Census) Observe(now time.Time, s Software) {
	if !now.Before(c.expectUntil) {
		c.expectUntil = time.Time{}
	}
	p := c.versions[s]
	if p == nil {
		if len(c.versions) >= maxVersions {
			return
		}
		c.revision++
		p = &period{since: now, revision: c.revision}
		c.versions[s] = p
	}
	p.until = now
}

// ObserveListed records that this leader or an earlier one has listed an endpoint with a software version.
func (c *Census) ObserveListed(now time.Time, s Software) {
	c.Observe(now, s)
	if p := c.versions[s]; p != nil {
		p.listed = true
	}
}

// Revision returns a number that increases with each version that is added.
func (c *Census) Revision() uint64 { return c.revision }

// Restore records the versions that are stored. Those of an earlier leader count from now on, since their last endpoint may have left just now; the first
// call is to hold all of them.
func (c *Census) Restore(now time.Time, stored []Software) {
	for _, p := range c.versions {
		p.durable = false
	}
	for _, s := range stored {
		if c.versions[s] == nil {
			c.revision++
			c.versions[s] = &period{since: now, until: now, revision: c.revision, former: true}
		}
		p := c.versions[s]
		p.durable, p.former = true, p.former || !c.restored
	}
	c.restored = true
}

// Usable reports whether endpoints with a software version may serve: the service has no other, or all of them are stored, and endpoints have been listed
// with this one or all entries are informed of the revision of the census that has it. That an earlier leader has stored it does not show that entries know.
// Call it after Observe.
func (c *Census) Usable(s Software, informed func(since time.Time, revision uint64) bool) bool {
	p := c.versions[s]
	if p == nil {
		return false
	}
	others := 0
	for other, q := range c.versions {
		if other.Service != s.Service || other == s {
			continue
		}
		if !q.durable {
			return false
		}
		others++
	}
	if others == 0 {
		return p.durable || p.listed || !c.mayHide(s)
	}
	return p.durable && (p.listed || informed(p.since, p.revision))
}

// mayHide reports whether the only known version of a service may not be the only one. One without a name is not stored while it is the only one.
func (c *Census) mayHide(s Software) bool { return s.Version != "" && !c.expectUntil.IsZero() }

// Versions returns the software versions that may have begun streams of a service or are about to, sorted.
func (c *Census) Versions(service string) []string {
	return c.matching(service, func(*period) bool { return true })
}

// Begun returns the software versions that may have begun streams of a service, sorted: an endpoint serves once a leader has listed it. Earlier leaders
// list one that they have not stored only while it is the only one.
func (c *Census) Begun(service string) []string {
	hidden := !c.expectUntil.IsZero() && len(c.matching(service, func(p *period) bool { return p.former })) == 0
	return c.matching(service, func(p *period) bool { return p.listed || p.former || hidden })
}

func (c *Census) matching(service string, holds func(*period) bool) (list []string) {
	for s, p := range c.versions {
		if s.Service == service && holds(p) {
			list = append(list, s.Version)
		}
	}
	slices.Sort(list)
	return list
}

// All returns the Versions of all services by service, sorted.
func (c *Census) All() map[string][]string {
	all := map[string][]string{}
	for _, s := range slices.SortedFunc(maps.Keys(c.versions), Software.compare) {
		all[s.Service] = append(all[s.Service], s.Version)
	}
	return all
}

// Changes returns the versions that are to be stored, and those that are to be removed because no stream of theirs can be continued any more.
func (c *Census) Changes(now time.Time, retention time.Duration) (added, removed []Software) {
	for s, p := range c.versions {
		switch {
		case now.Sub(p.until) >= retention:
			if p.durable {
				p.durable = false // an endpoint that returns meanwhile waits until it is stored again
				removed = append(removed, s)
			} else {
				delete(c.versions, s)
			}
		case p.durable:
		case len(c.Versions(s.Service)) > 1, s.Version != "" && (p.listed || !c.mayHide(s)): // nothing distinguishes endpoints that name no software
			added = append(added, s)
		}
	}
	slices.SortFunc(added, Software.compare)
	slices.SortFunc(removed, Software.compare)
	return added, removed
}
