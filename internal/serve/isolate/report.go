package isolate

import (
	"context"
	"encoding/binary"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/place/quarantine"
	"lycheevale/internal/wire/peer"
)

// Methods between instances.
const (
	methodNotify  = "Isolate.Notify"  // of the leader: there are crashes to collect
	methodReport  = "Isolate.Report"  // of any instance
	methodCollect = "Isolate.Collect" // of one instance of a data centre, which asks the others there
)

const (
	notifyInterval = 100 * time.Millisecond
	notifyAgain    = 500 * time.Millisecond
	notifyTimeout  = 400 * time.Millisecond
	reportTimeout  = 200 * time.Millisecond
)

type empty struct{}

// reportRequest asks an instance for its records.
type reportRequest struct {
	Term            uint64                 `json:"Term"`
	Received        uint64                 `json:"Received,omitempty"` // last report that the leader has received
	SuspectRevision uint64                 `json:"SuspectRevision,omitempty"`
	Suspects        []quarantine.Signature `json:"Suspects,omitempty"` // omitted at first
	Trials          permits                `json:"Trials,omitzero"`
}

// permits lists quarantined signatures that one request each may try. They are granted once for a report and may be received repeatedly.
type permits struct {
	Report     uint64   `json:"Report"`
	Signatures []string `json:"Signatures"`
}

// report is what an instance has recorded since the report before.
type report struct {
	ID           uint64                         `json:"ID,omitempty"`
	NeedSuspects bool                           `json:"NeedSuspects,omitempty"` // of the revision; the report is empty
	Crashes      []quarantine.Crash             `json:"Crashes,omitempty"`
	Begins       []quarantine.Begin             `json:"Begins,omitempty"`
	Refused      map[string]quarantine.Refusals `json:"Refused,omitempty"`
}

// collectRequest asks for the records of all instances of a data centre; Received and Trials are by instance.
type collectRequest struct {
	Term            uint64                 `json:"Term"`
	Received        map[string]uint64      `json:"Received,omitempty"`
	SuspectRevision uint64                 `json:"SuspectRevision,omitempty"`
	Suspects        []quarantine.Signature `json:"Suspects,omitempty"`
	Trials          map[string]permits     `json:"Trials,omitempty"`
}

type collectReply struct {
	Reports map[string]report `json:"Reports,omitempty"` // of the instances that answered
}

// Register registers the recorder's methods.
func (r *Recorder) Register(m *peer.Mux) {
	m.Handle(methodReport, peer.Typed(func(_ context.Context, _ string, q reportRequest) (report, error) { return r.report(q), nil }))
	m.Handle(methodCollect, peer.Typed(func(ctx context.Context, _ string, q collectRequest) (collectReply, error) {
		return collectReply{r.collect(ctx, q)}, nil
	}))
}

// notify tells the leader of crashes that it may not have received.
func (r *Recorder) notify(ctx context.Context) {
	now := r.options.Now()
	r.mu.Lock()
	waiting := r.unconfirmed != nil && len(r.unconfirmed.Crashes) > 0 && now.Sub(r.unconfirmed.at) >= notifyAgain
	due := (waiting || r.tracker.HasUnreported()) && now.Sub(r.notifiedAt) >= notifyAgain
	if due {
		r.notifiedAt = now
	}
	r.mu.Unlock()
	leader, known := r.options.Leader()
	if !due || !known {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	if err := r.options.Call(ctx, leader, methodNotify, empty{}, &empty{}); err != nil {
		event.Log(ctx, r.options.Logger, event.CrashUnreported, slog.String("Leader", leader), slog.Any("Error", err))
	}
}

// report answers the leader.
func (r *Recorder) report(q reportRequest) report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Now()
	if q.SuspectRevision != r.suspectRevision {
		if q.SuspectRevision != 0 && len(q.Suspects) == 0 {
			return report{NeedSuspects: true}
		}
		r.suspects, r.suspectRevision = q.Suspects, q.SuspectRevision
	}
	if q.Trials.Report > r.permitted {
		r.permitted = q.Trials.Report
		for _, id := range q.Trials.Signatures {
			r.trials[id] = now.Add(trialTime)
		}
	}
	r.confirm(q.Received)
	asked := slices.Clone(r.suspects)
	crashes := r.tracker.Report(now, q.Term)
	for _, c := range crashes {
		for _, e := range c.Exposed {
			asked = append(asked, quarantine.NewSignature(c.Service, e.ID))
		}
	}
	r.reports++
	sent := report{ID: r.reports, Crashes: crashes, Begins: r.tracker.Begins(now, q.Term, asked), Refused: r.refused}
	r.refused = map[string]quarantine.Refusals{}
	r.unconfirmed = &sentReport{sent, q.Term, now}
	return sent
}

// confirm ends the wait for the confirmation of the last report. What the leader has not received is reported again.
func (r *Recorder) confirm(received uint64) {
	last := r.unconfirmed
	r.unconfirmed = nil
	switch {
	case last == nil:
	case last.ID == received:
		r.tracker.Delivered(last.at, last.term, last.Crashes, last.Begins)
	default:
		for id, n := range last.Refused {
			n.Total += r.refused[id].Total
			n.Alone += r.refused[id].Alone
			r.refused[id] = n
		}
	}
}

// collect asks all instances of the data centre.
func (r *Recorder) collect(ctx context.Context, q collectRequest) map[string]report {
	var mu sync.Mutex
	reports := map[string]report{}
	var group errgroup.Group
	for _, name := range r.options.Instances() {
		group.Go(func() error {
			one, err := r.ask(ctx, name, q)
			if err != nil {
				return nil // the leader asks again while there is something to decide
			}
			mu.Lock()
			defer mu.Unlock()
			reports[name] = one
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// ask asks one instance, and sends it the suspects if it does not have them.
func (r *Recorder) ask(ctx context.Context, name string, q collectRequest) (answer report, err error) {
	request := reportRequest{Term: q.Term, Received: q.Received[name], SuspectRevision: q.SuspectRevision, Trials: q.Trials[name]}
	for {
		callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		answer = report{}
		err = r.options.Call(callCtx, name, methodReport, request, &answer)
		cancel()
		if err != nil || !answer.NeedSuspects || len(request.Suspects) > 0 {
			return answer, err
		}
		request.Suspects = q.Suspects
	}
}

// revisionOf returns a value that identifies a list of signatures, 0 for an empty one.
func revisionOf(list []quarantine.Signature) uint64 {
	if len(list) == 0 {
		return 0
	}
	var text []byte
	for _, s := range list {
		text = binary.AppendUvarint(text, uint64(len(s.Service)))
		text = append(text, s.Service...)
		text = binary.AppendUvarint(text, uint64(len(s.ID)))
		text = append(text, s.ID...)
	}
	return max(1, xxhash.Sum64(text))
}
