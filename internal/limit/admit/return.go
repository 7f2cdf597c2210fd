package admit

import (
	"maps"
	"slices"
	"time"
)

// composeReturn returns the unanswered ReturnRequest, or a new one, or nil when there is nothing to report. If all is
// set, it returns every batch.
func (h *holder) composeReturn(now time.Time, all bool) *ReturnRequest {
	if h.returnStream.pending != nil {
		return h.returnStream.pending
	}
	h.countMatureLoans(now)
	if h.epoch == 0 {
		return nil // nothing was borrowed
	}
	h.lastReturnCheck = now
	if !h.returnDue(now, all) {
		return nil
	}
	h.lastReturn = now
	req := ReturnRequest{}
	for _, name := range slices.Sorted(maps.Keys(h.dirty)) {
		lb := h.dirty[name]
		lb.expire(now)
		if item, ok := h.returnItem(now, lb, all); ok {
			req.Items = append(req.Items, item)
		}
		h.deleteIfEmpty(now, lb)
		if len(req.Items) == maxItems {
			break
		}
	}
	if len(req.Items) == 0 {
		return nil
	}
	h.returnStream.sequence++
	req.Header = Header{Epoch: h.epoch, Incarnation: h.incarnation, Sequence: h.returnStream.sequence}
	h.returnStream.pending, h.returnStream.sentAt = &req, now
	return &req
}

// returnDue reports whether a report is due: at once for customers without room and for batches that are to be
// returned, otherwise after roomReportEvery.
func (h *holder) returnDue(now time.Time, all bool) bool {
	if all || now.Sub(h.lastReturn) >= roomReportEvery {
		return true
	}
	for _, lb := range h.dirty {
		lb.expire(now)
		if !lb.room && (len(lb.batches)+len(lb.credits) > 0 || lb.openReport != nil) {
			return true
		}
		for _, b := range lb.batches {
			if !b.room || b.id != 0 && b.deadline.Sub(now) <= closeLead {
				return true
			}
		}
	}
	return false
}

// idleAfter returns how long tokens of the local bucket may stay unused before they are returned.
func (h *holder) idleAfter(now time.Time, lb *localBucket) time.Duration {
	if !lb.room {
		return h.options.Idle
	}
	if lb.lends(now) {
		return lendRetention
	}
	gap := duration(lb.meanTokens, lb.demand.decay(lb.lastUsed))
	if gap < 0 {
		return roomIdle
	}
	return min(max(roomIdleGaps*gap, h.options.Idle), roomIdle)
}

// deleteIfEmpty deletes a local bucket without tokens, waiters, pending reports or recent use.
func (h *holder) deleteIfEmpty(now time.Time, lb *localBucket) {
	if len(lb.batches) > 0 || lb.openReport != nil || len(lb.credits) > 0 {
		return
	}
	if !lb.empty(now) {
		return
	}
	delete(h.dirty, lb.customer)
	delete(h.asking, lb.customer)
	delete(h.localBuckets, lb.customer)
}

func (h *holder) returnItem(now time.Time, lb *localBucket, all bool) (item ReturnItem, ok bool) {
	item.Customer = lb.customer
	idle := all || (len(lb.waiters) == 0 && now.Sub(lb.lastUsed) >= h.idleAfter(now, lb))
	keep := lb.batches[:0]
	for _, b := range lb.batches {
		last := idle || b.remaining <= 0 || b.deadline.Sub(now) <= closeLead ||
			b.room && b.deadline.Sub(now) <= closeLead+roomBorrowDelay // saves a separate message later
		last = last && b.loaned == 0 // not before it is known whether the loan was spent
		if b.id != 0 && (last || b.spent != b.reported) {
			item.Batches = append(item.Batches, BatchReport{ID: b.id, Spent: b.spent, Keep: !last})
			b.reported = b.spent
		}
		if !last || b.id == 0 {
			keep = append(keep, b)
			continue
		}
		lb.available -= b.remaining
	}
	clear(lb.batches[len(keep):])
	lb.batches = keep
	if len(keep) == 0 {
		lb.available = 0
	}
	if lb.lends(now) && !all && lb.available < h.target(now, lb)/2 {
		h.asking[lb.customer] = lb
	}
	if len(item.Batches) > 0 && lb.openReport != nil {
		lb.openReport.composed = true
		h.reports[lb.customer] = lb.openReport
		lb.openReport = nil
	}
	if lb.openReport != nil && lb.openReport.open == 0 {
		lb.openReport = nil // all spending was restored to its batches
	}
	item.Credits = lb.takeCredits()
	return item, len(item.Batches)+len(item.Credits) > 0
}

func (lb *localBucket) takeCredits() (list []Credit) {
	for _, r := range lb.credits {
		list = append(list, Credit{Mark: r.mark, Tokens: r.unused, More: r.open > 0})
		r.unused, r.creditQueued = 0, false
	}
	lb.credits = nil
	return list
}

// applyReturn applies the reply to the unanswered ReturnRequest.
func (h *holder) applyReturn(req *ReturnRequest, reply ReturnReply) {
	if h.returnStream.pending != req || reply.Epoch < h.epoch {
		return
	}
	if reply.Reset {
		h.reset(reply.Answer)
		return
	}
	for customer, r := range h.reports {
		lb := h.localBuckets[customer]
		if lb == nil || slices.Contains(reply.Final, customer) {
			continue
		}
		r.mark = reply.Mark
		lb.queueCredit(r)
	}
	clear(h.reports)
	h.returnStream.pending = nil
}
