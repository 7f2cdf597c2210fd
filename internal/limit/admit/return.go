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
		w := h.dirty[name]
		w.expire(now)
		if item, ok := h.returnItem(now, w, all); ok {
			req.Items = append(req.Items, item)
		}
		h.deleteIfEmpty(now, w)
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
	for _, w := range h.dirty {
		w.expire(now)
		if !w.room && (len(w.batches)+len(w.credits) > 0 || w.openReport != nil) {
			return true
		}
		for _, b := range w.batches {
			if !b.room || b.id != 0 && b.deadline.Sub(now) <= closeLead {
				return true
			}
		}
	}
	return false
}

// idleAfter returns how long tokens of the wallet may stay unused before they are returned.
func (h *holder) idleAfter(now time.Time, w *wallet) time.Duration {
	if !w.room {
		return h.options.Idle
	}
	if w.lends(now) {
		return lendRetention
	}
	gap := duration(w.meanTokens, w.demand.decay(w.lastUsed))
	if gap < 0 {
		return roomIdle
	}
	return min(max(roomIdleGaps*gap, h.options.Idle), roomIdle)
}

// deleteIfEmpty deletes a wallet without tokens, waiters, pending reports or recent use.
func (h *holder) deleteIfEmpty(now time.Time, w *wallet) {
	if len(w.batches) > 0 || w.openReport != nil || len(w.credits) > 0 {
		return
	}
	if !w.empty(now) {
		return
	}
	delete(h.dirty, w.customer)
	delete(h.asking, w.customer)
	delete(h.wallets, w.customer)
}

func (h *holder) returnItem(now time.Time, w *wallet, all bool) (item ReturnItem, ok bool) {
	item.Customer = w.customer
	idle := all || (len(w.waiters) == 0 && now.Sub(w.lastUsed) >= h.idleAfter(now, w))
	keep := w.batches[:0]
	for _, b := range w.batches {
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
		w.available -= b.remaining
	}
	clear(w.batches[len(keep):])
	w.batches = keep
	if len(keep) == 0 {
		w.available = 0
	}
	if w.lends(now) && !all && w.available < h.target(now, w)/2 {
		h.asking[w.customer] = w
	}
	if len(item.Batches) > 0 && w.openReport != nil {
		w.openReport.composed = true
		h.reports[w.customer] = w.openReport
		w.openReport = nil
	}
	if w.openReport != nil && w.openReport.open == 0 {
		w.openReport = nil // all spending was restored to its batches
	}
	item.Credits = w.takeCredits()
	return item, len(item.Batches)+len(item.Credits) > 0
}

func (w *wallet) takeCredits() (list []Credit) {
	for _, r := range w.credits {
		list = append(list, Credit{Mark: r.mark, Tokens: r.unused, More: r.open > 0})
		r.unused, r.creditQueued = 0, false
	}
	w.credits = nil
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
		w := h.wallets[customer]
		if w == nil || slices.Contains(reply.Final, customer) {
			continue
		}
		r.mark = reply.Mark
		w.queueCredit(r)
	}
	clear(h.reports)
	h.returnStream.pending = nil
}
