package feed

import (
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
}

// hub is the pure part of a source: who is subscribed and how far.
type hub struct {
	children map[string]*child
	lease    time.Duration
	forget   time.Duration
}

func newHub(lease, forget time.Duration) *hub {
	return &hub{children: map[string]*child{}, lease: lease, forget: forget}
}

// renew adds or prolongs a subscription. The revision may be lower than before: a restarted instance starts empty.
func (h *hub) renew(now time.Time, name, dataCentre string, revision uint64, report Report) {
	c := h.children[name]
	if c == nil {
		c = &child{}
		h.children[name] = c
	}
	c.dataCentre, c.revision, c.report, c.deadline = dataCentre, revision, report, now.Add(h.lease)
}

// next returns the subscribers that need a push, and marks them.
func (h *hub) next(now time.Time, revision uint64) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(h.children)) {
		c := h.children[name]
		if !c.pushing && c.revision < revision && now.Before(c.deadline) {
			c.pushing = true
			names = append(names, name)
		}
	}
	return names
}

// pushed notes the end of a push; a failed one ends the subscription until the subscriber renews it.
func (h *hub) pushed(now time.Time, name string, revision uint64, ok bool) {
	c := h.children[name]
	if c == nil {
		return
	}
	c.pushing = false
	if !ok {
		c.deadline = now
		return
	}
	c.revision = max(c.revision, revision)
	c.deadline = now.Add(h.lease)
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
