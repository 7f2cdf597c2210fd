package quarantine

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

// Suspects returns the signatures whose begins entries should report: those that may have caused several crashes, and the quarantined ones. The
// caller must not change the list.
func (d *Detector) Suspects() []Signature {
	d.compare()
	return d.suspects
}

// maxDecisions limits the cost of one call of Blame. More are found once these are stored.
const maxDecisions = 8

// maxSuspects limits the signatures about which entries are asked.
const maxSuspects = 64

// compare finds the suspects if there is evidence that it has not considered.
func (d *Detector) compare() {
	if !d.changed {
		return
	}
	d.changed, d.decided = false, false
	explained := d.explained()
	explains := explanations(explained)
	d.all = d.all[:0]
	for r := range d.repeated {
		if r.suspect == nil {
			r.suspect = newSuspect(r, explains)
		}
		if r.suspect.size > 0 && !explained[r] {
			d.all = append(d.all, r.suspect)
		}
	}
	sortSuspects(d.all)
	d.findHeld()
	d.suspects = slices.SortedFunc(maps.Keys(d.quarantined), compareSignatures)
	for _, s := range strongest(d.all, maxSuspects) {
		d.suspects = append(d.suspects, s.signature)
	}
}

// explained returns the records of the quarantined signatures.
func (d *Detector) explained() map[*record]bool {
	list := map[*record]bool{}
	for sig := range d.quarantined {
		if r := d.records[sig]; r != nil {
			list[r] = true
		}
	}
	return list
}

// Blame returns further signatures to quarantine. A signature explains all crashes that it was exposed to, so that signatures which only share
// requests or endpoints with it are not blamed for them. The caller must not change the list.
func (d *Detector) Blame(now time.Time) []Signature {
	d.expire(now)
	d.compare()
	if d.decided && (d.reviewAt.IsZero() || now.Before(d.reviewAt)) {
		return d.blamed
	}
	d.decided, d.reviewAt, d.blamed = true, time.Time{}, nil
	explained := d.explained()
	x := decision{Detector: d, now: now, all: d.all, explains: explanations(explained)}
	for range min(maxDecisions, d.options.MaxQuarantined-len(d.quarantined)) {
		blamed := x.next()
		if len(blamed) == 0 {
			break
		}
		for _, s := range blamed {
			d.blamed = append(d.blamed, s.signature)
			explained[s.record] = true
			d.together[s.signature] = len(blamed) > 1
		}
		x.explains = explanations(explained)
		x.all = findSuspects(x.all, explained, x.explains)
	}
	return d.blamed
}

// decision is what one call of Blame considers.
type decision struct {
	*Detector
	now      time.Time
	all      []*suspect
	explains map[*crash][]*record // signatures that are quarantined or will be, by crash
}

// suspect is a signature with the crashes that it was exposed to since it last began.
type suspect struct {
	*record
	rounds       []round  // the oldest first
	unexplained  crashSet // crashes that no quarantined signature explains
	acknowledged crashSet // of these, the crashes in which the endpoint had sent the head of an answer to a request with the signature
	size         int      // of unexplained
	runs         int      // copies of an exact request that ended in the unexplained crashes
	// evidence counts crashes twice if they are acknowledged, and half if the signature has begun before: while all endpoints are down, common
	// signatures do not begin either.
	evidence int
	verdict  verdict
}

// round is a crash to which a suspect was exposed.
type round struct {
	*crash
	sentAt time.Time
	turn   bool    // the request was sent alone
	source *record // quarantined signature of a narrower kind that explains the crash, nil if none does
}

// verdict states whether enough endpoints have crashed.
type verdict int

const (
	unknown verdict = iota
	tooFew
	enough
)

// minRounds returns the number of consecutive crashes that blame the signature. It is higher for adapters, customers and targets that have begun, which
// many sound requests have, and for a signature that has begun before.
func (s *suspect) minRounds(o Options) int {
	n := o.MinRounds
	if s.kind > KindPart || (s.kind == KindTarget && !s.begun.IsZero()) {
		n += o.MoreRounds
	}
	if !s.begun.IsZero() {
		n *= 2
	}
	return n
}

// explanations returns the given signatures by the crashes that they explain.
func explanations(explained map[*record]bool) map[*crash][]*record {
	explains := map[*crash][]*record{}
	for r := range explained {
		for _, x := range r.exposed {
			explains[x.crash] = append(explains[x.crash], r)
		}
	}
	return explains
}

// findSuspects returns those of the suspects that may have caused crashes which the given signatures do not explain.
func findSuspects(all []*suspect, explained map[*record]bool, explains map[*crash][]*record) (left []*suspect) {
	for _, s := range all {
		if explained[s.record] {
			continue
		}
		if s := newSuspect(s.record, explains); s.size > 0 {
			left = append(left, s)
		}
	}
	sortSuspects(left)
	return left
}

// sortSuspects sorts the narrowest kind first, and within it the strongest evidence.
func sortSuspects(all []*suspect) {
	slices.SortFunc(all, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), b.evidence-a.evidence, compareSignatures(a.signature, b.signature))
	})
}

// newSuspect combines what is known of a signature. Crashes that a quarantined signature was exposed to count for a wider one only once for each
// such signature, and for others not at all.
func newSuspect(r *record, explains map[*crash][]*record) *suspect {
	s := &suspect{record: r}
	var sources []*record
	for _, x := range r.exposed {
		one := round{crash: x.crash, sentAt: x.sentAt, turn: x.turn}
		if by := explains[x.crash]; len(by) > 0 {
			if one.source = x.widestInside(by, r); one.source == nil {
				continue
			}
			if !slices.Contains(sources, one.source) {
				sources = append(sources, one.source)
			}
		} else {
			s.unexplained.add(x.crash)
			s.runs += max(x.count(), 1)
			if x.acknowledged {
				s.acknowledged.add(x.crash)
			}
		}
		s.rounds = append(s.rounds, one)
	}
	slices.SortFunc(s.rounds, func(a, b round) int { return a.at.Compare(b.at) })
	s.size = s.unexplained.size()
	if s.evidence = s.size + s.acknowledged.size() + len(sources); !r.begun.IsZero() {
		s.evidence /= 2
	}
	return s
}

// strongest returns the suspects with the strongest evidence.
func strongest(all []*suspect, limit int) (list []*suspect) {
	taken := [kinds]int{}
	for _, s := range all { // sorted by evidence within each kind
		if taken[s.kind]++; taken[s.kind] <= limit {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *suspect) int { return b.evidence - a.evidence })
	return list[:min(len(list), limit)]
}

// inside reports whether requests exposed to the crash show that one signature is narrower than another: they have both, and the kind of n
// comes before that of w.
func (k *crash) inside(n, w *record) bool {
	switch {
	case n.kind >= w.kind:
		return false
	case n.kind == KindRequest:
		return slices.Contains(n.carries, w)
	}
	return slices.ContainsFunc(k.requests, func(r *record) bool { return slices.Contains(r.carries, n) && slices.Contains(r.carries, w) })
}

// widestInside returns the signature of the widest kind that is inside another one, nil if none is.
func (k *crash) widestInside(list []*record, w *record) (widest *record) {
	for _, r := range list {
		if k.inside(r, w) && (widest == nil || cmp.Or(cmp.Compare(r.kind, widest.kind), compareSignatures(widest.signature, r.signature)) > 0) {
			widest = r
		}
	}
	return widest
}

// next returns the suspects to blame next, several if no further crash would tell them apart.
func (x *decision) next() (blamed []*suspect) {
	i := slices.IndexFunc(x.all, func(s *suspect) bool { return !x.contested(s) && x.convincing(s) })
	if i < 0 {
		return nil
	}
	s := x.all[i]
	for _, t := range x.all {
		if t == s || (t.equals(s) && (t.kind == s.kind || (t.kind == KindPart && s.kind != KindTarget && x.convincing(t))) && !x.contested(t)) {
			blamed = append(blamed, t)
		}
	}
	return blamed
}

// equals reports whether two suspects have the same evidence on the same crashes.
func (s *suspect) equals(t *suspect) bool {
	return s.evidence == t.evidence && s.unexplained == t.unexplained
}

// convincing reports whether enough endpoints crashed one after the other, and entries have had the time to report begins since.
func (x *decision) convincing(s *suspect) bool {
	if s.verdict == unknown {
		s.verdict = tooFew
		if x.isEnough(s) {
			s.verdict = enough
		}
	}
	if s.verdict == tooFew {
		return false
	}
	settled := s.rounds[1].recordedAt.Add(x.options.Settle)
	if x.now.Before(settled) && (x.reviewAt.IsZero() || settled.Before(x.reviewAt)) {
		x.reviewAt = settled
	}
	return !x.now.Before(settled)
}

// isEnough reports whether enough endpoints crashed one after the other. Simultaneous crashes, as of a rack, are one round, and so are all that a
// quarantined signature explains. A signature that several requests may have must have crashed endpoints with several of them, an adapter or
// a customer in each round with another one. More rounds are needed if endpoints crash for another cause as well, unless they had
// acknowledged requests with the signature, or crashed under a copy that was sent alone: a sound request has copies at many endpoints when these
// crash, but hardly at one only.
func (x *decision) isEnough(s *suspect) bool {
	count, alone, fresh, last, surplus := 0, 0, 0, time.Time{}, -1
	minRounds := s.minRounds(x.options)
	minFresh := [kinds]int{KindTarget: 2, KindPart: 2, KindAdapter: minRounds, KindCustomer: minRounds}
	if s.kind == KindTarget && !s.begun.IsZero() {
		minFresh[s.kind] = minRounds
	}
	seen := map[*record]bool{}
	for _, one := range s.rounds {
		if !one.sentAt.After(last) || (one.source != nil && seen[one.source]) {
			continue
		}
		count, last = count+1, one.at
		if one.turn {
			alone++
		}
		if fresh < minFresh[s.kind] && s.showsAnother(one, seen) {
			fresh++
		}
		if count < minRounds || fresh < minFresh[s.kind] {
			continue
		}
		if surplus < 0 {
			surplus = x.surplus(s)
		}
		if count+alone >= minRounds+surplus {
			return true
		}
	}
	return false
}

// surplus returns the number of additional rounds that are needed because endpoints of the service crash meanwhile for causes other than requests
// that are suspects themselves.
func (x *decision) surplus(s *suspect) (n int) {
	if s.acknowledged == s.unexplained {
		return 0
	}
	first, last := s.rounds[0], s.rounds[len(s.rounds)-1]
	var others crashSet
	for _, t := range x.all {
		if t.kind <= KindTarget && t.size > 1 && t.begun.IsZero() {
			others.merge(t.unexplained)
		}
	}
	for _, k := range x.crashes {
		if k.service == first.service && !k.at.Before(first.at) && !k.at.After(last.at) && !s.unexplained.has(k) && !others.has(k) && len(x.explains[k]) == 0 {
			n++
		}
	}
	return min(n, x.options.MoreRounds)
}

// showsAnother reports whether a crash may have been caused by another request with the signature than the crashes before.
func (s *suspect) showsAnother(one round, seen map[*record]bool) (another bool) {
	if one.source != nil {
		seen[one.source] = true
		return true
	}
	carriers := 0
	for _, r := range one.requests {
		if r.begun.After(one.exposed[r].sentAt) || !slices.Contains(r.carries, s.record) {
			continue
		}
		carriers++
		another = another || !seen[r]
		seen[r] = true
	}
	return another || carriers == 0
}

// contested reports whether another signature explains crashes of a suspect as well or better. Signatures with exactly the same crashes do not
// contest each other, because no further crash would tell them apart, unless one is narrower.
func (x *decision) contested(s *suspect) bool {
	return slices.ContainsFunc(x.all, func(t *suspect) bool {
		common := s.unexplained.common(t.unexplained)
		if t == s || common == 0 {
			return false
		}
		same := s.unexplained == t.unexplained
		inside := t.kind < s.kind && slices.Contains(t.carries, s.record)
		switch {
		case t.kind < s.kind && s.kind > KindPart, inside && !s.begun.IsZero():
			// Many sound requests have the same adapter, customer or common part.
			explains := same || (common > 1 && 2*common >= s.size)
			return explains && (t.begun.IsZero() || !s.begun.IsZero())
		case inside:
			return same && t.evidence >= s.evidence
		case t.kind > s.kind && slices.Contains(s.carries, t.record):
			score := common + s.unexplained.common(t.acknowledged)
			return t.kind == KindPart && score > s.size+s.acknowledged.size() && x.convincing(t)
		case t.kind > KindPart && t.kind > s.kind, t.evidence < s.evidence, same:
			return false
		case t.kind > s.kind && !x.convincing(t):
			return false
		}
		return t.evidence > s.evidence || s.size < x.options.Decisive
	})
}

// crashSet is a set of crashes, by their slots.
type crashSet [maxRecorded / 64]uint64

func (c *crashSet) add(k *crash) { c[k.slot/64] |= 1 << (k.slot % 64) }

func (c *crashSet) has(k *crash) bool { return c[k.slot/64]&(1<<(k.slot%64)) != 0 }

func (c *crashSet) merge(other crashSet) {
	for i := range c {
		c[i] |= other[i]
	}
}

func (c *crashSet) size() (n int) { return c.common(*c) }

// common returns the number of crashes in both sets.
func (c *crashSet) common(other crashSet) (n int) {
	for i := range c {
		n += bits.OnesCount64(c[i] & other[i])
	}
	return n
}
