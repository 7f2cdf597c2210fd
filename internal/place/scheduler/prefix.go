package scheduler

import "time"

// prefixes is the set of prompt prefixes that an endpoint is expected to cache. It only affects the
// choice between endpoints of similar fill, because cache events are late and can be lost. The set is bounded. Dispatches
// add to it as well, and a gap in the events clears it.
type prefixes struct {
	known    map[uint64]struct{}
	order    []uint64
	sequence uint64
}

func (p *prefixes) reset() {
	p.known = map[uint64]struct{}{}
	p.order = p.order[:0]
}

func (p *prefixes) has(hash uint64) bool {
	if hash == 0 {
		return false
	}
	_, ok := p.known[hash]
	return ok
}

func (p *prefixes) add(hash uint64, limit int) {
	if hash == 0 || p.has(hash) {
		return
	}
	if len(p.order) >= limit {
		delete(p.known, p.order[0])
		p.order = p.order[1:]
	}
	p.known[hash] = struct{}{}
	p.order = append(p.order, hash)
}

// RecordCacheEvent applies a cache event. After a gap it is unknown which prefixes have left the cache, so the set is
// cleared. Late events with an earlier sequence number are ignored.
func (s *Scheduler) RecordCacheEvent(_ time.Time, c CacheEvent) {
	e := s.byName[c.Endpoint]
	if e == nil || e.Incarnation != c.Incarnation || c.Sequence <= e.prefixes.sequence {
		return
	}
	if e.prefixes.sequence != 0 && c.Sequence != e.prefixes.sequence+1 {
		e.prefixes.reset()
	}
	e.prefixes.sequence = c.Sequence
	if c.Removed {
		delete(e.prefixes.known, c.Prefix)
		return
	}
	e.prefixes.add(c.Prefix, s.options.PrefixLimit)
}
