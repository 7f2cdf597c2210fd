package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the settings of a Detector.
type Options struct {
	// MinRounds is the number of consecutive crashes that blame a signature, each of an endpoint to which the signature was sent after the crash before.
	MinRounds int
	// Decisive is the number of crashes after which signatures are blamed that the evidence does not tell apart.
	Decisive int
	// Settle is the time from the first crash in which entries can report that the signature begins elsewhere.
	Settle time.Duration
	// TrialAfter is the time until one request may try a quarantined signature; it doubles with each further trial.
	TrialAfter time.Duration
	// SharedTrialAfter is the same for the first trial of signatures that were blamed together for the same crashes.
	SharedTrialAfter time.Duration
	MaxTrials        int
	// ForgetAfter is the time without a request after which a signature is released.
	ForgetAfter    time.Duration
	MaxQuarantined int // quarantined signatures
}

// DefaultOptions returns the settings for entries that report each 200 ms.
func DefaultOptions() Options {
	return Options{
		MinRounds: 3, Decisive: 5, Settle: 700 * time.Millisecond, TrialAfter: time.Minute, SharedTrialAfter: time.Second, MaxTrials: 2,
		ForgetAfter: time.Hour, MaxQuarantined: 256,
	}
}

// Detector decides at the leader which signatures are quarantined. It is not safe for concurrent use.
type Detector struct {
	options     Options
	crashes     map[Incarnation]*crash
	begun       map[Signature]time.Time
	quarantined map[Signature]*quarantined
	together    map[Signature]bool // signatures that were blamed for the same crashes as another one
}

// crash combines the reports of all entries on one crash.
type crash struct {
	service    string
	at         time.Time
	recordedAt time.Time // of the first report
	exposed    exposures
}

// quarantined is a signature that no endpoint gets.
type quarantined struct {
	since   time.Time
	askedAt time.Time // of the last request that was refused
	shared  bool      // another signature was blamed for the same crashes
	trials  int
	trialAt time.Time // earliest time of the next trial
}

// NewDetector returns a detector without records.
func NewDetector(o Options) *Detector {
	return &Detector{options: o, crashes: map[Incarnation]*crash{}, begun: map[Signature]time.Time{}, quarantined: map[Signature]*quarantined{}, together: map[Signature]bool{}}
}

// SetSettle changes the time in which entries can report that a signature begins.
func (d *Detector) SetSettle(settle time.Duration) { d.options.Settle = settle }

// SetQuarantined replaces the quarantined signatures, as they are stored.
func (d *Detector) SetQuarantined(now time.Time, signatures []Signature) {
	former := d.quarantined
	d.quarantined = map[Signature]*quarantined{}
	for _, sig := range signatures {
		q := former[sig]
		if q == nil {
			q = &quarantined{since: now, askedAt: now, shared: d.together[sig]}
			q.trialAt = now.Add(d.trialInterval(q))
		}
		d.quarantined[sig] = q
	}
	d.together = map[Signature]bool{}
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
			k.exposed.add(e.ID, exposure{sentAt: ago(at, e.WaitedMillis), acknowledged: e.Acknowledged}, maxRecordedExposed)
		}
	}
}

const (
	// maxRecorded and maxRecordedExposed limit the memory for crashes at the leader.
	maxRecorded        = 256
	maxRecordedExposed = 128
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
	maps.DeleteFunc(d.begun, func(_ Signature, at time.Time) bool { return now.Sub(at) > retention })
}

// RecordBegins adds begins that an entry reports.
func (d *Detector) RecordBegins(now time.Time, list []Begin) {
	for _, b := range list {
		if at := ago(now, b.AgoMillis); at.After(d.begun[b.Signature]) {
			d.begun[b.Signature] = at
		}
	}
}

// suspect is a signature with the crashes that it was exposed to since it last began, the oldest first.
type suspect struct {
	signature    Signature
	crashes      []*crash
	acknowledged int  // crashes in which the endpoint had sent the head of an answer to a request with the signature
	hasBegun     bool // it has begun before
}

// evidence counts crashes twice if the endpoint had sent the head of an answer to a request with the signature, and half if the signature has begun
// before. While all endpoints are down, common signatures do not begin either.
func (s *suspect) evidence() int {
	n := len(s.crashes) + s.acknowledged
	if s.hasBegun {
		return n / 2
	}
	return n
}

// minRounds returns the number of consecutive crashes that blame the signature.
func (s *suspect) minRounds(o Options) int {
	if s.hasBegun {
		return 2 * o.MinRounds
	}
	return o.MinRounds
}

// suspects returns the signatures that may have caused crashes, the strongest evidence first. Crashes that a quarantined signature explains are left
// out.
func (d *Detector) suspects(explained map[string]bool) []*suspect {
	all := map[Signature]*suspect{}
	for _, k := range slices.SortedFunc(maps.Values(d.crashes), func(a, b *crash) int { return a.at.Compare(b.at) }) {
		if k.explainedBy(explained) {
			continue
		}
		for id, e := range k.exposed {
			sig := Signature{Service: k.service, ID: id}
			if d.begun[sig].After(e.sentAt) {
				continue
			}
			s := all[sig]
			if s == nil {
				_, hasBegun := d.begun[sig]
				s = &suspect{signature: sig, hasBegun: hasBegun}
				all[sig] = s
			}
			s.crashes = append(s.crashes, k)
			if e.acknowledged {
				s.acknowledged++
			}
		}
	}
	return slices.SortedFunc(maps.Values(all), func(a, b *suspect) int {
		return cmp.Or(b.evidence()-a.evidence(), cmp.Compare(a.signature.ID, b.signature.ID), cmp.Compare(a.signature.Service, b.signature.Service))
	})
}

func (k *crash) explainedBy(signatures map[string]bool) bool {
	for id := range k.exposed {
		if signatures[id] {
			return true
		}
	}
	return false
}

func (d *Detector) explained() map[string]bool {
	ids := map[string]bool{}
	for sig := range d.quarantined {
		ids[sig.ID] = true
	}
	return ids
}

// maxSuspects limits the signatures about which entries are asked.
const maxSuspects = 32

// Suspects returns the signatures whose begins entries should report: those that may have caused crashes, and the quarantined ones.
func (d *Detector) Suspects() []Signature {
	list := slices.SortedFunc(maps.Keys(d.quarantined), func(a, b Signature) int {
		return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
	})
	all := d.suspects(d.explained())
	for _, s := range all[:min(len(all), maxSuspects)] {
		list = append(list, s.signature)
	}
	return list
}

// Blame returns further signatures to quarantine. A signature explains all crashes that it was exposed to, so that signatures which only share requests or
// endpoints with it are not blamed for them.
func (d *Detector) Blame(now time.Time) (signatures []Signature) {
	d.expire(now)
	explained := d.explained()
	for len(d.quarantined)+len(signatures) < d.options.MaxQuarantined {
		all := d.suspects(explained)
		i := slices.IndexFunc(all, func(s *suspect) bool { return d.convincing(now, s) && !d.contested(s, all) })
		if i < 0 {
			break
		}
		blamed := slices.DeleteFunc(slices.Clone(all), func(s *suspect) bool {
			return s.evidence() != all[i].evidence() || !slices.Equal(s.crashes, all[i].crashes)
		})
		for _, s := range blamed {
			signatures = append(signatures, s.signature)
			explained[s.signature.ID] = true
			d.together[s.signature] = len(blamed) > 1
		}
	}
	return signatures
}

// convincing reports whether enough endpoints crashed one after the other. Simultaneous crashes, as of a rack, are one round.
func (d *Detector) convincing(now time.Time, s *suspect) bool {
	if now.Sub(s.crashes[0].recordedAt) < d.options.Settle {
		return false
	}
	rounds, last := 0, time.Time{}
	for _, k := range s.crashes {
		if k.exposed[s.signature.ID].sentAt.After(last) {
			rounds, last = rounds+1, k.at
		}
	}
	return rounds >= s.minRounds(d.options)
}

// contested reports whether another signature explains crashes of a suspect as well or better. Parts with exactly the same crashes do not contest
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

// trialInterval returns the time until the next trial of a signature.
func (d *Detector) trialInterval(q *quarantined) time.Duration {
	if q.shared {
		return d.options.SharedTrialAfter << q.trials
	}
	return d.options.TrialAfter << q.trials
}

// Asked records requests with quarantined signatures that an entry has refused, and returns the signatures that this entry may try with one request
// each, to find out whether they were blamed wrongly. With a second quarantined signature a request would not show that.
func (d *Detector) Asked(now time.Time, refused map[string]Refusals) (trials []string) {
	for sig, q := range d.quarantined {
		r := refused[sig.ID]
		if r.Total > 0 {
			q.askedAt = now
		}
		if r.Alone == 0 || q.trials >= d.options.MaxTrials || now.Before(q.trialAt) {
			continue
		}
		q.trials++
		q.trialAt = now.Add(d.trialInterval(q))
		trials = append(trials, sig.ID)
	}
	return trials
}

// Release returns quarantined signatures that have begun or that no request has had for a long time.
func (d *Detector) Release(now time.Time) (signatures []Signature) {
	for sig, q := range d.quarantined {
		if d.begun[sig].After(q.since) || now.Sub(q.askedAt) > d.options.ForgetAfter {
			signatures = append(signatures, sig)
		}
	}
	return signatures
}
