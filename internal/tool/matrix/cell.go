package matrix

import (
	"fmt"
	"strings"
	"time"

	"lycheevale/internal/node/instance"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/demo"
)

// Figures of the checks.
const (
	orderReference = "envelopes-1"
	orderKey       = "order-1"
	resends        = 3
	revokeTarget   = 2 * time.Second
	watchInterval  = 100 * time.Millisecond
)

// cell runs the probe under the faults and checks the promises.
func (h *Harness) cell() (result Result) {
	h.probeKey = 0
	for _, f := range h.faults {
		if f.Prepare != nil {
			f.Prepare(h)
		}
	}
	stop := h.watchRevisions()
	h.armed.Store(true)
	result.Outcome, result.Detail = h.probe()
	h.armed.Store(false)
	result.Struck = h.struck.Load()
	for _, f := range h.faults {
		if f.Heal != nil && result.Struck {
			f.Heal(h)
		}
	}
	result.Recovered, result.Recovery = h.recovers()
	h.checkForeign()
	h.checkWithdrawal()
	close(stop)
	result.Violations = h.violations(h.evidence())
	h.mu.Lock()
	defer h.mu.Unlock()
	result.Events = h.events
	return result
}

func (h *Harness) probe() (Outcome, string) {
	switch h.column.Probe {
	case Order:
		return h.probeOrder()
	case Change:
		return h.probeChange()
	}
	return h.probeCompletion()
}

func (h *Harness) probeCompletion() (Outcome, string) {
	body := fmt.Sprintf(`{"model":%q,"prompt":"probe","max_tokens":%d,"stream":true}`, probeAdapter, probeTokens)
	r := h.send(h.entry(), "/v1/completions", demo.Key(h.probeKey), body, map[string]string{probeHeader: "1"})
	h.checkAnswer(r, probeAdapter, probeTokens)
	switch {
	case r.whole():
		return Answered, ""
	case r.ran() == "NotRun":
		if h.saw(`"prompt":"probe"`) {
			h.violate("P8: a completion that an engine received was refused as not run: %s", r.body)
		}
		return NotRun, r.body
	}
	return Unknown, fmt.Sprint(r.status, r.body, r.err)
}

// checkAnswer checks that the tokens received are those of the right adapter, in order and each once.
func (h *Harness) checkAnswer(r reply, adapter string, tokens int) {
	seq := 0
	for _, line := range strings.Split(r.body, "\n") {
		_, text, ok := strings.Cut(line, `"text":"`)
		if !ok {
			continue
		}
		seq++
		if want := fmt.Sprintf("%s@v1:%d ", adapter, seq); !strings.HasPrefix(text, want) {
			h.violate("P1 and P7: token %d is not %q: %s", seq, want, line)
		}
	}
	if r.whole() && seq != tokens {
		h.violate("P7: a whole answer has %d of %d tokens", seq, tokens)
	}
}

// probeOrder sends an order and, while its outcome is open, the same order to other instances.
func (h *Harness) probeOrder() (outcome Outcome, detail string) {
	body := fmt.Sprintf(`{"reference":%q}`, orderReference)
	for n := range resends {
		to := h.Instances[(1+2*n)%len(h.Instances)]
		headers := map[string]string{"Idempotency-Key": orderKey}
		if n == 0 {
			headers[probeHeader] = "1"
		}
		before := h.runs(orderReference)
		r := h.send(to, "/ledger/orders", demo.Key(h.probeKey), body, headers)
		switch {
		case r.err == nil && r.status == 200:
			if h.runs(orderReference) != 1 {
				h.violate("P9: an answered order ran %d times", h.runs(orderReference))
			}
			return Answered, ""
		case r.ran() == "NotRun":
			if before == 0 && h.runs(orderReference) > 0 {
				h.violate("P8: an order that ran was refused as not run: %s", r.body)
			}
			outcome, detail = NotRun, r.body
		default:
			outcome, detail = Unknown, fmt.Sprint(r.status, r.body, r.err)
		}
	}
	return outcome, detail
}

// runs counts how often the order with the reference ran.
func (h *Harness) runs(reference string) (runs int) {
	for _, e := range h.Endpoints {
		if e.Service != nil {
			runs += e.Service.Runs(reference)
		}
	}
	return runs
}

const changeName = "changed"

func (h *Harness) probeChange() (Outcome, string) {
	result, err := h.propose(h.entry(), h.command("probe", changeName))
	switch {
	case err != nil:
		return Unknown, err.Error()
	case result.Err() != nil:
		return NotRun, result.Error
	}
	return Answered, ""
}

// recovers tells whether the same request is answered within a bound after the faults have healed.
func (h *Harness) recovers() (ok bool, last string) {
	ok = h.waitFor(func() bool {
		last = h.tryAgain()
		return last == ""
	})
	return ok, last
}

// tryAgain returns why a request of each kind is not answered, empty when all are.
func (h *Harness) tryAgain() string {
	key := demo.Key(1)
	if r := h.complete(h.entry(), key, "draft-01", 2); !r.whole() {
		return fmt.Sprint("completion: ", r)
	}
	body := `{"reference":"after"}`
	r := h.send(h.entry(), "/ledger/orders", key, body, map[string]string{"Idempotency-Key": "after"})
	if r.err != nil || r.status != 200 {
		return fmt.Sprint("order: ", r)
	}
	result, err := h.propose(h.entry(), h.command("after", "after"))
	if err != nil || result.Err() != nil {
		return fmt.Sprint("change: ", result, err)
	}
	if missing := h.missing("after"); len(missing) > 0 {
		return fmt.Sprint("not in force: ", missing)
	}
	return ""
}

func (h *Harness) everywhere(adapter string) bool { return len(h.missing(adapter)) == 0 }

// missing lists the instances without the adapter and their revisions.
func (h *Harness) missing(adapter string) (names []string) {
	for _, i := range h.Instances {
		if _, ok := i.Current().Object(registry.KindAdapter, adapter); !ok {
			names = append(names, fmt.Sprintf("%s at revision %d", i.Settings.Name, i.Current().Revision()))
		}
	}
	return names
}

// checkForeign asks for another customer's adapter and for an order without a key.
func (h *Harness) checkForeign() {
	if r := h.complete(h.entry(), demo.Key(2), probeAdapter, 1); r.status != 404 {
		h.violate("P3: another customer's adapter answered with status %d", r.status)
	}
	r := h.send(h.entry(), "/ledger/orders", "", `{"reference":"foreign"}`, nil)
	if r.status != 403 || h.saw("foreign") {
		h.violate("P3: an order without a key answered with status %d", r.status)
	}
}

// checkWithdrawal withdraws a key at one instance and expects it to stop working at all others within the target.
func (h *Harness) checkWithdrawal() {
	const index = 2
	begin := time.Now()
	h.withdraw(index)
	for _, i := range h.Instances {
		for {
			r := h.complete(i, demo.Key(index), "draft-02", 1)
			if r.status == 403 {
				break
			}
			if time.Since(begin) > revokeTarget {
				h.violate("P5: a withdrawn key works at %s after %s", i.Settings.Name, time.Since(begin))
				break
			}
			time.Sleep(watchInterval)
		}
	}
}

// watchRevisions checks that no instance goes back to a lower revision while it runs. One that starts anew without a
// disk takes what its data centre has, which is less than before while the data centre is cut off.
func (h *Harness) watchRevisions() chan struct{} {
	stop := make(chan struct{})
	highest := make([]uint64, len(h.Instances))
	current := make([]*instance.Instance, len(h.Instances))
	h.background(func() {
		for {
			for n, deployed := range h.Instances {
				i := deployed.Current()
				revision := i.Revision()
				if i.Ready() && current[n] == i && revision < highest[n] {
					h.violate("P12: %s went from revision %d back to %d", deployed.Settings.Name, highest[n], revision)
				}
				switch {
				case i.Ready() && current[n] == i:
					highest[n] = max(highest[n], revision)
				case i.Ready():
					highest[n], current[n] = revision, i
				}
			}
			select {
			case <-stop:
				return
			case <-time.After(watchInterval):
			}
		}
	})
	return stop
}

func (h *Harness) violate(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.watched = append(h.watched, fmt.Sprintf(format, args...))
}

func (h *Harness) saw(text string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range h.received {
		if strings.Contains(r, text) {
			return true
		}
	}
	return false
}
