package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the settings of a Detector.
type Options struct {
	// MinRounds is the number of consecutive crashes that blame a signature, each of an endpoint to which it was sent after the crash before.
	MinRounds int
	// MoreRounds is the number of further ones for adapters and customers, and the most for crashes that the signature does not explain.
	MoreRounds int
	// Decisive is the number of crashes after which signatures are blamed that the evidence does not tell apart.
	Decisive int
	// Settle is the time from the second crash in which entries can report that the signature begins elsewhere.
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
		MinRounds: 3, MoreRounds: 2, Decisive: 5, Settle: 700 * time.Millisecond, TrialAfter: time.Minute, SharedTrialAfter: time.Second, MaxTrials: 2,
		ForgetAfter: time.Hour, MaxQuarantined: 256,
	}
}

// Detector decides at the leader which signatures are quarantined. It is not safe for concurrent use.
type Detector struct {
	options     Options
	crashes     map[Incarnation]*crash
	records     map[Signature]*record
	slots       [maxRecorded]*crash
	repeated    map[*record]bool // exposed to several crashes, or to one in several copies or since they last began
	quarantined map[Signature]*quarantined
	together    map[Signature]bool // signatures that were blamed for the same crashes as another one

	expiredAt time.Time

	changed  bool // there is evidence that the last comparison has not considered
	all      []*suspect
	suspects []Signature // those about which entries are asked
	held     map[string]*hold
	heldIDs  []string // of held, sorted
	decided  bool     // blamed is the decision on the last comparison
	blamed   []Signature
	reviewAt time.Time // when the decision may change without new evidence, zero for never
}

// crash combines the reports of all entries on one crash.
type crash struct {
	slot       int // position in Detector.slots
	service    string
	at         time.Time
	recordedAt time.Time // of the first report
	exposed    map[*record]*exposure
	requests   []*record // of exposed, the exact requests
}

// record is what is known of a signature.
type record struct {
	signature Signature
	kind      Kind
	carries   []*record   // signatures that a request with this exact request has as well
	exposed   []exposedTo // to crashes since its last begin
	begun     time.Time   // last begin
	suspect   *suspect    // as of the last comparison, nil if the evidence has changed
}

type exposedTo struct {
	*crash
	*exposure
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
	return &Detector{
		options: o, crashes: map[Incarnation]*crash{}, records: map[Signature]*record{}, repeated: map[*record]bool{},
		quarantined: map[Signature]*quarantined{}, together: map[Signature]bool{},
	}
}

// SetSettle changes the time in which entries can report that a signature begins.
func (d *Detector) SetSettle(settle time.Duration) {
	if settle != d.options.Settle {
		d.options.Settle, d.changed = settle, true
	}
}

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
	for r := range d.repeated {
		r.suspect = nil
	}
	d.changed = true
}

// Record adds crashes that an entry reports. It may report a crash again with further requests.
func (d *Detector) Record(now time.Time, entry string, list []Crash) {
	for _, c := range list {
		at := ago(now, c.AgoMillis)
		if now.Sub(at) > retention {
			continue
		}
		k := d.crashes[c.Incarnation]
		if k == nil {
			d.expire(now)
			k = d.add(now, at, c)
		}
		if at.Before(k.at) {
			k.at = at
			for r := range k.exposed {
				r.suspect = nil
			}
		}
		var request *record
		copies := map[*record]int{}
		for _, e := range c.Exposed {
			r, x := d.record(NewSignature(c.Service, e.ID)), exposure{sentAt: ago(at, e.WaitedMillis), acknowledged: e.Acknowledged}
			x.turn = d.held[e.ID].permitted(x.sentAt)
			if r.kind == KindRequest {
				request = r
				copies[r]++
				x.copies = map[string]int{entry: copies[r]}
			} else if request != nil && len(request.carries) < maxCarried && !slices.Contains(request.carries, r) {
				request.carries = append(request.carries, r)
			}
			d.expose(k, r, x)
		}
		d.changed = true
	}
}

const (
	// maxRecorded and maxRecordedExposed limit the memory for crashes at the leader.
	maxRecorded        = 256
	maxRecordedExposed = 512
	// maxCarried limits the signatures of one request that are compared with it.
	maxCarried = 64
)

func (d *Detector) add(now, at time.Time, c Crash) *crash {
	if len(d.crashes) >= maxRecorded {
		d.remove(slices.MinFunc(slices.Collect(maps.Keys(d.crashes)), func(a, b Incarnation) int {
			return d.crashes[a].at.Compare(d.crashes[b].at)
		}))
	}
	k := &crash{slot: slices.Index(d.slots[:], nil), service: c.Service, at: at, recordedAt: now, exposed: map[*record]*exposure{}}
	d.crashes[c.Incarnation], d.slots[k.slot] = k, k
	return k
}

// record returns the record of a signature.
func (d *Detector) record(sig Signature) *record {
	r := d.records[sig]
	if r == nil {
		r = &record{signature: sig, kind: KindOf(sig.ID)}
		d.records[sig] = r
	}
	return r
}

// expose merges an exposure. Beyond the limit, one that is acknowledged or was exposed to another crash replaces one that is neither.
func (d *Detector) expose(k *crash, r *record, e exposure) {
	merged := k.exposed[r]
	if merged != nil {
		merged.merge(e)
	} else {
		if len(k.exposed) >= maxRecordedExposed && ((!e.acknowledged && len(r.exposed) == 0) || !d.makeRoom(k)) {
			return
		}
		merged = &e
		k.exposed[r] = merged
		if r.kind == KindRequest {
			k.requests = append(k.requests, r)
		}
		if d.quarantined[r.signature] != nil { // it explains the crash for the others
			for other := range k.exposed {
				other.suspect = nil
			}
		}
	}
	if !r.begun.After(merged.sentAt) && !slices.ContainsFunc(r.exposed, func(x exposedTo) bool { return x.crash == k }) {
		r.exposed = append(r.exposed, exposedTo{k, merged})
	}
	if len(r.exposed) > 1 || (len(r.exposed) > 0 && (!r.begun.IsZero() || merged.count() > 1)) {
		d.repeated[r] = true
	}
	r.suspect = nil
}

// makeRoom removes one exposure to a crash that was not acknowledged, of a signature without another crash. It reports whether there was one.
func (d *Detector) makeRoom(k *crash) bool {
	for r, e := range k.exposed {
		if !e.acknowledged && len(r.exposed) < 2 {
			k.requests = slices.DeleteFunc(k.requests, func(other *record) bool { return other == r })
			delete(k.exposed, r)
			d.forget(r, func(x exposedTo) bool { return x.crash == k })
			return true
		}
	}
	return false
}

// forget removes crashes from a signature.
func (d *Detector) forget(r *record, remove func(x exposedTo) bool) {
	r.suspect = nil
	r.exposed = slices.DeleteFunc(r.exposed, remove)
	if len(r.exposed) == 0 {
		delete(d.repeated, r)
		if r.begun.IsZero() {
			delete(d.records, r.signature)
		}
	}
}

func (d *Detector) remove(i Incarnation) {
	k := d.crashes[i]
	delete(d.crashes, i)
	d.slots[k.slot] = nil
	for r := range k.exposed {
		d.forget(r, func(x exposedTo) bool { return x.crash == k })
	}
	d.changed = true
}

// expireInterval limits the cost of looking for old crashes and begins.
const expireInterval = time.Minute

// expire removes crashes and begins that are no evidence any more.
func (d *Detector) expire(now time.Time) {
	if now.Sub(d.expiredAt) < expireInterval {
		return
	}
	d.expiredAt = now
	for i, k := range d.crashes {
		if now.Sub(k.at) > retention {
			d.remove(i)
		}
	}
	maps.DeleteFunc(d.records, func(_ Signature, r *record) bool { return len(r.exposed) == 0 && now.Sub(r.begun) > retention })
}

// RecordBegins adds begins that an entry reports.
func (d *Detector) RecordBegins(now time.Time, list []Begin) {
	for _, b := range list {
		r := d.record(b.Signature)
		if at := ago(now, b.AgoMillis); at.After(r.begun) {
			first, before := r.begun.IsZero(), len(r.exposed)
			r.begun = at
			d.forget(r, func(x exposedTo) bool { return at.After(x.sentAt) })
			d.changed = d.changed || len(r.exposed) < before || (first && before > 0)
		}
	}
}

// trialInterval returns the time until the next trial of a signature.
func (d *Detector) trialInterval(q *quarantined) time.Duration {
	if q.shared {
		return d.options.SharedTrialAfter << q.trials
	}
	return d.options.TrialAfter << q.trials
}

// Asked records requests with quarantined signatures that an entry has refused, and returns the signatures that this entry may try with one
// request each, to find out whether they were blamed wrongly. With a second quarantined signature a request would not show that.
func (d *Detector) Asked(now time.Time, refused map[string]Refusals) (trials []string) {
	for sig, q := range d.quarantined {
		r := refused[sig.ID]
		if r.Total > 0 {
			q.askedAt = now
		}
		if r.Alone == 0 || q.trials >= d.maxTrials(sig, q) || now.Before(q.trialAt) {
			continue
		}
		q.trials++
		q.trialAt = now.Add(d.trialInterval(q))
		trials = append(trials, sig.ID)
	}
	return trials
}

// maxTrials returns the number of trials of a signature. An exact request that was blamed alone gets one: it rarely is sound, and refusing it
// harms no other request.
func (d *Detector) maxTrials(sig Signature, q *quarantined) int {
	if KindOf(sig.ID) == KindRequest && !q.shared {
		return min(d.options.MaxTrials, 1)
	}
	return d.options.MaxTrials
}

// Release returns quarantined signatures that have begun or that no request has had for a long time.
func (d *Detector) Release(now time.Time) (signatures []Signature) {
	for sig, q := range d.quarantined {
		r := d.records[sig]
		if (r != nil && r.begun.After(q.since)) || now.Sub(q.askedAt) > d.options.ForgetAfter {
			signatures = append(signatures, sig)
		}
	}
	return signatures
}

// compareSignatures orders signatures for reproducible results.
func compareSignatures(a, b Signature) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Service, b.Service))
}
