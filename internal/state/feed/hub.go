package feed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// subscriber is the state of one subscription as its source tracks it.
type subscriber struct {
	dataCentre       string
	revision         uint64 // revision that the subscriber itself has applied
	deadline         time.Time
	report           Report // covers the subscriber's own subscribers; empty if it has none
	pushing          bool
	notifiedRevision uint64 // last revision that the subscriber was notified of

	subscription uint64
	subscribedAt time.Time // when the subscription was received
	renewals     uint64    // detects answers to pushes sent before the last renewal, which may be outdated
	downstream   int       // known number of instances that it feeds
	avoidUntil   time.Time // set after another subscriber failed to reach it
}

// hub holds the subscriptions of a source and their progress. It performs no I/O and takes the time as a parameter.
type hub struct {
	subscribers   map[string]*subscriber
	lease         time.Duration
	lostRetention time.Duration
	nextPeer      int // round-robin counter for peers that serve snapshots
}

func newHub(lease, forget time.Duration) *hub {
	return &hub{subscribers: map[string]*subscriber{}, lease: lease, lostRetention: forget}
}

// subscribe adds or extends a subscription. The revision may decrease, because a restarted instance starts empty.
func (h *hub) subscribe(now time.Time, name string, p subscribeParams) {
	c := h.subscribers[name]
	if c == nil {
		c = &subscriber{}
		h.subscribers[name] = c
	}
	c.subscription, c.subscribedAt = p.Subscription, now
	h.renew(now, name, p.DataCentre, p.Revision, p.Report)
}

func (h *hub) renew(now time.Time, name, dataCentre string, revision uint64, report Report) {
	c := h.subscribers[name]
	c.dataCentre, c.revision, c.deadline = dataCentre, revision, now.Add(h.lease)
	c.renewals++
	c.notifiedRevision = 0
	c.setReport(report)
}

func (c *subscriber) setReport(report Report) {
	c.report, c.downstream = report, report[c.dataCentre].Instances
}

// redirect returns the subscriber that another instance of the same data centre has to subscribe to instead, so that no
// instance feeds more than fanout of them, or "" if this node feeds it directly. A subscriber reported as failed is
// skipped for one lease; instances that subscribed here during that time are redirected when they renew.
func (h *hub) redirect(now time.Time, from, dataCentre, failed string, fanout int) string {
	if c := h.subscribers[failed]; c != nil {
		c.avoidUntil = now.Add(h.lease)
	}
	stages := h.intermediates(now, dataCentre, fanout)
	if len(stages) < fanout || slices.Contains(stages, from) {
		return ""
	}
	// The last one feeds the fewest instances.
	for _, name := range slices.Backward(stages) {
		if c := h.subscribers[name]; !now.Before(c.avoidUntil) {
			c.downstream++
			delete(h.subscribers, from)
			return name
		}
	}
	return ""
}

// intermediates returns up to fanout subscribers of a data centre, those that feed the most instances first.
func (h *hub) intermediates(now time.Time, dataCentre string, fanout int) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(h.subscribers)) {
		if c := h.subscribers[name]; c.dataCentre == dataCentre && now.Before(c.deadline) {
			names = append(names, name)
		}
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(h.subscribers[b].downstream, h.subscribers[a].downstream) })
	return names[:min(len(names), fanout)]
}

// peer returns a subscriber of the data centre that has at least the revision, chosen round-robin, or "" if there is none.
func (h *hub) peer(now time.Time, from, dataCentre string, revision uint64) string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(h.subscribers)) {
		c := h.subscribers[name]
		if name != from && c.dataCentre == dataCentre && c.revision >= revision && now.Before(c.deadline) {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return ""
	}
	h.nextPeer++
	return names[h.nextPeer%len(names)]
}

// takeDue returns the subscribers that need a push, or all without a push in progress if a heartbeat is due, and marks
// their push as in progress.
func (h *hub) takeDue(now time.Time, revision uint64, heartbeat bool) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(h.subscribers)) {
		c := h.subscribers[name]
		if !c.pushing && now.Before(c.deadline) && (heartbeat || c.needsPush(revision)) {
			c.pushing = true
			names = append(names, name)
		}
	}
	return names
}

// anyNeedsPush reports whether takeDue would return a subscriber when no heartbeat is due.
func (h *hub) anyNeedsPush(now time.Time, revision uint64) bool {
	for _, c := range h.subscribers {
		if !c.pushing && now.Before(c.deadline) && c.needsPush(revision) {
			return true
		}
	}
	return false
}

// needsPush reports whether a push is due; a subscriber that was notified of a revision is not notified of it again.
func (c *subscriber) needsPush(revision uint64) bool {
	return c.revision < revision && c.notifiedRevision < revision
}

// finishPush records the result of a push; a failed push suspends the subscription until the subscriber renews it.
func (h *hub) finishPush(now time.Time, name string, renewals uint64, answer pushResult, method string, ok bool) {
	c := h.subscribers[name]
	if c == nil {
		return
	}
	c.pushing = false
	if method == pushMethod {
		c.notifiedRevision = 0
	}
	switch {
	case c.renewals != renewals:
		c.revision = max(c.revision, answer.Revision)
	case !ok:
		c.deadline = now
	case answer.Gone:
		delete(h.subscribers, name)
	default:
		c.revision = max(c.revision, answer.Revision)
		c.deadline = now.Add(h.lease)
		if method == heartbeatMethod {
			c.setReport(answer.Report)
		}
	}
}

// lostReportLeases is the number of leases for which the report of a lost relay is kept.
const lostReportLeases = 3

// report combines this instance and the reports of all subscribers, and removes subscribers lost longer than lostRetention.
func (h *hub) report(now time.Time, dataCentre string, revision uint64) Report {
	all := Report{dataCentre: {Instances: 1, Revision: revision}}
	for _, name := range slices.Sorted(maps.Keys(h.subscribers)) {
		c := h.subscribers[name]
		lost := !now.Before(c.deadline)
		if lost && !now.Before(c.deadline.Add(h.lostRetention)) {
			delete(h.subscribers, name)
			continue
		}
		own := Reach{Instances: 1, Revision: revision}
		if lost || c.revision < revision {
			own.Behind = []Lag{{Instance: name, Revision: c.revision, Lost: lost}}
		}
		all.add(c.dataCentre, own)
		if lost && !now.Before(c.deadline.Add(lostReportLeases*h.lease)) {
			// By now the subscribers of a lost relay have another source, which reports them.
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

// subscriberReport returns the report without this instance, which the source counts itself.
func (h *hub) subscriberReport(now time.Time, dataCentre string, revision uint64) Report {
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
