package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// child is one subscriber.
type child struct {
	dataCentre string
	revision   uint64 // applied by the subscriber itself
	deadline   time.Time
	report     Report // of the subscriber's own subscribers; empty for an instance that is no relay
	pushing    bool
	told       uint64 // revision of which the subscriber was told last

	subscription uint64
	since        time.Time // when the subscription was received
	renewals     uint64    // an answer to a push that was sent before the last one may be older
	load         int       // instances below, as far as known
	avoidUntil   time.Time // another subscriber could not use it
}

// hub is the pure part of a source: who is subscribed and how far.
type hub struct {
	children map[string]*child
	lease    time.Duration
	forget   time.Duration
	turn     int // of peers that serve snapshots
}

func newHub(lease, forget time.Duration) *hub {
	return &hub{children: map[string]*child{}, lease: lease, forget: forget}
}

// subscribe adds or prolongs a subscription. The revision may be lower than before: a restarted instance starts empty.
func (h *hub) subscribe(now time.Time, name string, p subscribeParams) {
	c := h.children[name]
	if c == nil {
		c = &child{}
		h.children[name] = c
	}
	c.subscription, c.since = p.Subscription, now
	h.renew(now, name, p.DataCentre, p.Revision, p.Report)
}

func (h *hub) renew(now time.Time, name, dataCentre string, revision uint64, report Report) {
	c := h.children[name]
	c.dataCentre, c.revision, c.deadline = dataCentre, revision, now.Add(h.lease)
	c.renewals++
	c.told = 0
	c.setReport(report)
}

func (c *child) setReport(report Report) {
	c.report, c.load = report, report[c.dataCentre].Instances
}

// through returns the subscriber through which another one of the same data centre is fed, so that no instance feeds more
// than fanout of them; "" if it is fed from here. A subscriber named as failed is not used for the length of a lease;
// those that came here meanwhile are sent on when they renew.
func (h *hub) through(now time.Time, from, dataCentre, failed string, fanout int) string {
	if c := h.children[failed]; c != nil {
		c.avoidUntil = now.Add(h.lease)
	}
	stages := h.stages(now, dataCentre, fanout)
	if len(stages) < fanout || slices.Contains(stages, from) {
		return ""
	}
	// The last one has the smallest load.
	for _, name := range slices.Backward(stages) {
		if c := h.children[name]; !now.Before(c.avoidUntil) {
			c.load++
			delete(h.children, from)
			return name
		}
	}
	return ""
}

// stages returns up to fanout subscribers of a data centre, those with the most instances below first.
func (h *hub) stages(now time.Time, dataCentre string, fanout int) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(h.children)) {
		if c := h.children[name]; c.dataCentre == dataCentre && now.Before(c.deadline) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(h.children[b].load, h.children[a].load) })
	return names[:min(len(names), fanout)]
}

// peer returns a subscriber of the data centre with at least the revision, another one each time, or "".
func (h *hub) peer(now time.Time, from, dataCentre string, revision uint64) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[name]
		if name != from && c.dataCentre == dataCentre && c.revision >= revision && now.Before(c.deadline) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	h.turn++
	return names[h.turn%len(names)]
}

// next returns the subscribers that need a push, or with beat all that are not being pushed to, and marks them.
func (h *hub) next(now time.Time, revision uint64, beat bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[name]
		if !c.pushing && now.Before(c.deadline) && (beat || c.lacks(revision)) {
			c.pushing = true
			names = append(names, name)
		}
	}
	return names
}

// lacking tells whether next would return a subscriber without a heartbeat.
func (h *hub) lacking(now time.Time, revision uint64) bool {
	for _, c := range h.children {
		if !c.pushing && now.Before(c.deadline) && c.lacks(revision) {
			return true
		}
	}
	return false
}

// lacks tells whether a push is due; a subscriber that was told to fetch a revision is not told again.
func (c *child) lacks(revision uint64) bool {
	return c.revision < revision && c.told < revision
}

// pushed notes the end of a push; a failed one ends the subscription until the subscriber renews it.
func (h *hub) pushed(now time.Time, name string, renewals uint64, answer pushResult, method string, ok bool) {
	c := h.children[name]
	if c == nil {
		return
	}
	c.pushing = false
	if method == pushMethod {
		c.told = 0
	}
	switch {
	case c.renewals != renewals:
		c.revision = max(c.revision, answer.Revision)
	case !ok:
		c.deadline = now
	case answer.Gone:
		delete(h.children, name)
	default:
		c.revision = max(c.revision, answer.Revision)
		c.deadline = now.Add(h.lease)
		if method == beatMethod {
			c.setReport(answer.Report)
		}
	}
}

// lostReportLeases is how many leases the report of a lost relay is kept.
const lostReportLeases = 3

// report joins what is known of all subscribers with the own instance.
func (h *hub) report(now time.Time, dataCentre string, revision uint64) Report {
	all := Report{dataCentre: {Instances: 1, Revision: revision}}
	for _, name := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[name]
		lost := !now.Before(c.deadline)
		if lost && !now.Before(c.deadline.Add(h.forget)) {
			delete(h.children, name)
			continue
		}
		own := Reach{Instances: 1, Revision: revision}
		if lost || c.revision < revision {
			own.Behind = []Lag{{Instance: name, Revision: c.revision, Lost: lost}}
		}
		all.add(c.dataCentre, own)
		if lost && !now.Before(c.deadline.Add(lostReportLeases*h.lease)) {
			// The subscribers of a lost relay have found another source by now, which reports them.
			continue
		}
		for dataCentre, reach := range c.report {
			all.add(dataCentre, reach)
		}
	}
	for _, reach := range all {
		sortLags(reach.Behind)
	}
	return all
}

// childReport is the report without the own instance, which the source counts itself.
func (h *hub) childReport(now time.Time, dataCentre string, revision uint64) Report {
	all := h.report(now, dataCentre, revision)
	own := all[dataCentre]
	own.Instances--
	if own.Instances == 0 {
		delete(all, dataCentre)
		return all
	}
	all[dataCentre] = own
	return all
}
