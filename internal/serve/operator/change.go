package operator

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"regexp"

	"lycheevale/internal/base/chain"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/state/registry"
)

// invalidError is a refusal with the invalid fields.
type invalidError struct {
	refusal *refusal.Error
	faults  []Fault
}

func (e *invalidError) Error() string { return e.refusal.Error() }
func (e *invalidError) Unwrap() error { return e.refusal }

func invalid(faults []Fault) error {
	message := faults[0].String()
	if len(faults) > 1 {
		message += fmt.Sprintf(" (and %d more faults)", len(faults)-1)
	}
	return &invalidError{refusal: refusal.New(refusal.BadRequest, "%s", message), faults: faults}
}

// conflictError is a refusal with the current revision.
type conflictError struct {
	refusal  *refusal.Error
	revision uint64
}

func (e *conflictError) Error() string { return e.refusal.Error() }
func (e *conflictError) Unwrap() error { return e.refusal }

// decidedError is a refusal that the log has decided, so that a resend gets the same one.
type decidedError struct {
	err error
}

func (e *decidedError) Error() string { return e.err.Error() }
func (e *decidedError) Unwrap() error { return e.err }

var requestIDPattern = regexp.MustCompile(`^[A-Za-z0-9._:-]{1,128}$`)

func checkRequestID(id string) error {
	if !requestIDPattern.MatchString(id) {
		return refusal.New(refusal.BadRequest, "RequestID must be 1 to 128 letters, digits or ._:- (a resend carries the same one)")
	}
	return nil
}

func (s *Server) change(r *http.Request) (any, error) {
	var c Change
	if err := decode(r, &c); err != nil {
		return nil, err
	}
	if err := checkRequestID(c.RequestID); err != nil {
		return nil, err
	}
	answer := ChangeAnswer{RequestID: c.RequestID, DryRun: c.DryRun, Effects: effects(s.view(), c.Changes)}
	if c.DryRun {
		return s.dryRun(r.Context(), c, answer)
	}
	if faults := CheckForm(c.Changes); len(faults) > 0 {
		return nil, invalid(faults)
	}
	command := s.command(r, c.RequestID, c.ExpectedRevision, c.Changes)
	outcome, err := s.perform(r, actionChange, c.RequestID, namesOf(c.Changes), func(ctx context.Context) (Outcome, error) {
		faults, err := s.checkState(ctx, c.Changes)
		if err != nil {
			return Outcome{}, err
		}
		if len(faults) > 0 && !s.mayBeResend(c) {
			return Outcome{}, invalid(faults)
		}
		return s.options.System.Propose(ctx, command)
	})
	answer.Outcome = outcome
	return answer, err
}

// mayBeResend reports whether the log may already hold the result of this request. A refusal that
// reports the change as not made could then be wrong.
func (s *Server) mayBeResend(c Change) bool {
	if s.options.System.Answered != nil && s.options.System.Answered(c.RequestID) {
		return true
	}
	for _, e := range effects(s.view(), c.Changes) {
		if e.Action != ActionNone {
			return false
		}
	}
	return true
}

func (s *Server) view() View {
	return View{Object: s.options.System.Object, Objects: s.options.System.Objects}
}

// checkState returns the faults of the objects in the current state. An error means that the state
// is not known, and nothing has been proposed.
func (s *Server) checkState(ctx context.Context, objects []registry.Object) ([]Fault, error) {
	voters, err := s.checkVoters(ctx, objects)
	if err != nil {
		return nil, refusal.New(refusal.Unavailable, "the current voters are not known: %v", err)
	}
	return append(CheckReferences(s.view(), objects), voters...), nil
}

func (s *Server) dryRun(ctx context.Context, c Change, answer ChangeAnswer) (any, error) {
	answer.Revision = s.options.System.Revision()
	if c.ExpectedRevision != 0 && c.ExpectedRevision != answer.Revision {
		return nil, conflict(registry.Result{
			Revision: answer.Revision,
			Error:    fmt.Sprintf("expected revision %d, current revision is %d", c.ExpectedRevision, answer.Revision),
		})
	}
	faults, err := s.checkState(ctx, c.Changes)
	if err != nil {
		return nil, err
	}
	if faults = append(CheckForm(c.Changes), faults...); len(faults) > 0 {
		return nil, invalid(faults)
	}
	return answer, nil
}

func conflict(result registry.Result) error {
	return &conflictError{refusal: refusal.New(refusal.Conflict, "%s", result.Error), revision: result.Revision}
}

func (s *Server) command(r *http.Request, requestID string, expected uint64, changes []registry.Object) registry.Command {
	return registry.Command{
		RequestID: requestID, ExpectedRevision: expected, Operator: operatorOf(r.Context()).Name,
		At: s.options.Now().UTC(), Changes: changes,
	}
}

// Actions in the audit log.
const (
	actionChange   = "Change"
	actionIssue    = "IssueKey"
	actionWithdraw = "WithdrawKey"
)

// perform runs one action between its two audit records. The action continues if the operator's
// connection closes, so that its result is recorded in any case.
func (s *Server) perform(
	r *http.Request, action, requestID string, names []string, act func(context.Context) (Outcome, error),
) (outcome Outcome, err error) {
	record := Record{
		At: s.options.Now().UTC(), Stage: StageStarted, Operator: operatorOf(r.Context()).Name,
		Remote: remoteOf(r), Action: action, RequestID: requestID, Objects: names,
	}
	if err := s.options.Audit.Add(record); err != nil {
		event.Log(r.Context(), s.options.Logger, event.AuditFailed, slog.String("Error", err.Error()))
		if action != actionWithdraw { // stopping a stolen key matters more than the record
			return Outcome{}, refusal.New(refusal.Unavailable, "the audit log cannot be written")
		}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), s.options.Change)
	defer cancel()
	outcome, err = act(ctx)
	if err == nil && outcome.Error != "" {
		err = resultError(outcome.Result)
	}
	record.At, record.Stage, record.Revision = s.options.Now().UTC(), StageFinished, outcome.Revision
	if err != nil {
		record.Error = err.Error()
	}
	if failed := s.options.Audit.Add(record); failed != nil {
		event.Log(ctx, s.options.Logger, event.AuditFailed, slog.String("Error", failed.Error()))
	}
	s.logOutcome(ctx, record, outcome, err)
	return outcome, err
}

func resultError(result registry.Result) error {
	if result.Conflict {
		return &decidedError{conflict(result)}
	}
	return &decidedError{refusal.New(refusal.BadRequest, "%v", result.Err())}
}

func (s *Server) logOutcome(ctx context.Context, record Record, outcome Outcome, err error) {
	id := event.ChangeApplied
	var typed *refusal.Error
	switch {
	case chain.As(err, &typed) && typed.Ran == refusal.NotRun:
		id = event.ChangeFailed
	case err != nil:
		id = event.ChangeUncertain
	}
	event.Log(ctx, s.options.Logger, id,
		slog.String("Action", record.Action), slog.String("Operator", record.Operator),
		slog.String("RequestID", record.RequestID), slog.Uint64("Revision", outcome.Revision),
		slog.Any("Unreached", outcome.Unreached), slog.String("Error", record.Error))
}
