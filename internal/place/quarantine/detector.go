package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the settings of a Detector.
type Options struct {
	// MinRounds is the number of consecutive crashes that blame a part, each of an endpoint to which the part was sent after the crash before.
	MinRounds int
	// Decisive is the number of crashes after which parts are blamed that the evidence does not tell apart.
	Decisive int
	// Settle is the time from the first crash in which entries can report that the part begins elsewhere.
	Settle time.Duration
	// TrialAfter is the time until one request may try a quarantined part; it doubles with each further trial.
	TrialAfter time.Duration
	// SharedTrialAfter is the same for the first trial of parts that were blamed together for the same crashes.
	SharedTrialAfter time.Duration
	MaxTrials        int
	// ForgetAfter is the time without a request after which a part is released.
	ForgetAfter time.Duration
	MaxParts    int // quarantined parts
}

// DefaultOptions returns the settings for entries that report each 200 ms.
func DefaultOptions() Options {
	return Options{
		MinRounds: 3, Decisive: 5, Settle: 700 * time.Millisecond, TrialAfter: time.Minute, SharedTrialAfter: time.Second, MaxTrials: 2,
		ForgetAfter: time.Hour, MaxParts: 256,
	}
}

// Detector decides at the leader which parts are quarantined. It is not safe for concurrent use.
type Detector struct {
	options     Options
	crashes     map[Incarnation]*crash
	begun       map[Part]time.Time
	quarantined map[Part]*quarantined
	together    map[Part]bool // parts that were blamed for the same crashes as another one
}

// crash combines the reports of all entries on one crash.
type crash struct {
	service    string
	at         time.Time
	recordedAt time.Time // of the first report
	exposed    exposures
}

// quarantined is a part that no endpoint gets.
type quarantined struct {
	since   time.Time
	askedAt time.Time // of the last request that was refused
	shared  bool      // another part was blamed for the same crashes
	trials  int
	trialAt time.Time // earliest time of the next trial
}

// NewDetector returns a detector without records.
func NewDetector(o Options) *Detector {
	return &Detector{options: o, crashes: map[Incarnation]*crash{}, begun: map[Part]time.Time{}, quarantined: map[Part]*quarantined{}, together: map[Part]bool{}}
}

// SetSettle changes the time in which entries can report that a part begins.
func (d *Detector) SetSettle(settle time.Duration) { d.options.Settle = settle }

// SetQuarantined replaces the quarantined parts, as they are stored.
func (d *Detector) SetQuarantined(now time.Time, parts []Part) {
	former := d.quarantined
	d.quarantined = map[Part]*quarantined{}
	for _, p := range parts {
		q := former[p]
		if q == nil {
			q = &quarantined{since: now, askedAt: now, shared: d.together[p]}
			q.trialAt = now.Add(d.trialInterval(q))
		}
		d.quarantined[p] = q
	}
	d.together = map[Part]bool{}
}

// Record adds crashes that an entry reports.
func (d *Detector) Record(now time.Time, list []Crash) {
	for _, c := range list {
		at := ago(now, c.AgoMillis)
		if now.Sub(at) > retention {
			continue
		}
		k := d.crashes[c.Incarnation]
		if k == nil {
			k = d.add(now, at, c)
		}
		if at.Before(k.at) {
			k.at = at
		}
		for _, e := range c.Exposed {
			k.exposed.add(e.ID, exposure{sentAt: ago(at, e.WaitedMillis), acknowledged: e.Acknowledged}, maxRecordedParts)
		}
	}
}

const (
	// maxRecorded and maxRecordedParts limit the memory for crashes at the leader.
	maxRecorded      = 256
	maxRecordedParts = 128
)

func (d *Detector) add(now, at time.Time, c Crash) *crash {
	d.expire(now)
	if len(d.crashes) >= maxRecorded {
		delete(d.crashes, slices.MinFunc(slices.Collect(maps.Keys(d.crashes)), func(a, b Incarnation) int {
			return d.crashes[a].at.Compare(d.crashes[b].at)
		}))
	}
	k := &crash{service: c.Service, at: at, recordedAt: now, exposed: exposures{}}
	d.crashes[c.Incarnation] = k
	return k
}

func (d *Detector) expire(now time.Time) {
	maps.DeleteFunc(d.crashes, func(_ Incarnation, k *crash) bool { return now.Sub(k.at) > retention })
	maps.DeleteFunc(d.begun, func(_ Part, at time.Time) bool { return now.Sub(at) > retention })
}

// RecordBegins adds begins that an entry reports.
func (d *Detector) RecordBegins(now time.Time, list []Begin) {
	for _, b := range list {
		if at := ago(now, b.AgoMillis); at.After(d.begun[b.Part]) {
			d.begun[b.Part] = at
		}
	}
}

// suspect is a part with the crashes that it was exposed to since it last began, the oldest first.
type suspect struct {
	part         Part
	crashes      []*crash
	acknowledged int  // crashes in which the endpoint had sent the head of an answer to a request with the part
	hasBegun     bool // it has begun before
}

// evidence counts crashes twice if the endpoint had sent the head of an answer to a request with the part, and half if the part has begun
// before. While all endpoints are down, common parts do not begin either.
func (s *suspect) evidence() int {
	n := len(s.crashes) + s.acknowledged
	if s.hasBegun {
		return n / 2
	}
	return n
}

// minRounds returns the number of consecutive crashes that blame the part.
func (s *suspect) minRounds(o Options) int {
	if s.hasBegun {
		return 2 * o.MinRounds
	}
	return o.MinRounds
}

// suspects returns the parts that may have caused crashes, the strongest evidence first. Crashes that a quarantined part explains are left
// out.
func (d *Detector) suspects(explained map[string]bool) []*suspect {
	all := map[Part]*suspect{}
	for _, k := range slices.SortedFunc(maps.Values(d.crashes), func(a, b *crash) int { return a.at.Compare(b.at) }) {
		if k.explainedBy(explained) {
			continue
		}
		for id, e := range k.exposed {
			p := Part{Service: k.service, ID: id}
			if d.begun[p].After(e.sentAt) {
				continue
			}
			s := all[p]
			if s == nil {
				_, hasBegun := d.begun[p]
				s = &suspect{part: p, hasBegun: hasBegun}
				all[p] = s
			}
			s.crashes = append(s.crashes, k)
			if e.acknowledged {
				s.acknowledged++
			}
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b *suspect) int {
		return cmp.Or(b.evidence()-a.evidence(), cmp.Compare(a.part.ID, b.part.ID), cmp.Compare(a.part.Service, b.part.Service))
	})
}

func (k *crash) explainedBy(parts map[string]bool) bool {
	for id := range k.exposed {
		if parts[id] {
			return true
		}
	}
	return false
}

func (d *Detector) explained() map[string]bool {
	ids := map[string]bool{}
	for p := range d.quarantined {
		ids[p.ID] = true
	}
	return ids
}

// maxSuspects limits the parts about which entries are asked.
const maxSuspects = 32

// Suspects returns the parts whose begins entries should report: those that may have caused crashes, and the quarantined ones.
func (d *Detector) Suspects() []Part {
	list := slices.SortedFunc(maps.Keys(d.quarantined), func(a, b Part) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
	})
	all := d.suspects(d.explained())
	for _, s := range all[:min(len(all), maxSuspects)] {
		list = append(list, s.part)
	}
	return list
}

// Blame returns further parts to quarantine. A part explains all crashes that it was exposed to, so that parts which only share requests or
// endpoints with it are not blamed for them.
func (d *Detector) Blame(now time.Time) (parts []Part) {
	d.expire(now)
	explained := d.explained()
	for len(d.quarantined)+len(parts) < d.options.MaxParts {
		all := d.suspects(explained)
		i := slices.IndexFunc(all, func(s *suspect) bool { return d.convincing(now, s) && !d.contested(s, all) })
		if i < 0 {
			break
		}
		blamed := slices.DeleteFunc(slices.Clone(all), func(s *suspect) bool {
			return s.evidence() != all[i].evidence() || !slices.Equal(s.crashes, all[i].crashes)
		})
		for _, s := range blamed {
			parts = append(parts, s.part)
			explained[s.part.ID] = true
			d.together[s.part] = len(blamed) > 1
		}
	}
	return parts
}

// convincing reports whether enough endpoints crashed one after the other. Simultaneous crashes, as of a rack, are one round.
func (d *Detector) convincing(now time.Time, s *suspect) bool {
	if now.Sub(s.crashes[0].recordedAt) < d.options.Settle {
		return false
	}
	rounds, last := 0, time.Time{}
	for _, k := range s.crashes {
		if k.exposed[s.part.ID].sentAt.After(last) {
			rounds, last = rounds+1, k.at
		}
	}
	return rounds >= s.minRounds(d.options)
}

// contested reports whether another part explains crashes of a suspect as well or better. Parts with exactly the same crashes do not contest
// each other, because no further crash would tell them apart.
func (d *Detector) contested(s *suspect, all []*suspect) bool {
	return slices.ContainsFunc(all, func(t *suspect) bool {
		if t == s || t.evidence() < s.evidence() || !shareCrash(s, t) || slices.Equal(s.crashes, t.crashes) {
			return false
		}
		return t.evidence() > s.evidence() || len(s.crashes) < d.options.Decisive
	})
}

func shareCrash(s, t *suspect) bool {
	return slices.ContainsFunc(s.crashes, func(k *crash) bool { return slices.Contains(t.crashes, k) })
}

// trialInterval returns the time until the next trial of a part.
func (d *Detector) trialInterval(q *quarantined) time.Duration {
	if q.shared {
		return d.options.SharedTrialAfter << q.trials
	}
	return d.options.TrialAfter << q.trials
}

// Asked records requests with quarantined parts that an entry has refused, and returns the parts that this entry may try with one request
// each, to find out whether they were blamed wrongly. With a second quarantined part a request would not show that.
func (d *Detector) Asked(now time.Time, refused map[string]Refusals) (trials []string) {
	for p, q := range d.quarantined {
		r := refused[p.ID]
		if r.Total > 0 {
			q.askedAt = now
		}
		if r.Alone == 0 || q.trials >= d.options.MaxTrials || now.Before(q.trialAt) {
			continue
		}
		q.trials++
		q.trialAt = now.Add(d.trialInterval(q))
		trials = append(trials, p.ID)
	}
	return trials
}

// Release returns quarantined parts that have begun or that no request has had for a long time.
func (d *Detector) Release(now time.Time) (parts []Part) {
	for p, q := range d.quarantined {
		if d.begun[p].After(q.since) || now.Sub(q.askedAt) > d.options.ForgetAfter {
			parts = append(parts, p)
		}
	}
	return parts
}
