package event

import "log/slog"

// Events 8000 to 8999: operators' requests.
const (
	OperatorRefused     ID = 8001
	ChangeApplied       ID = 8002
	ChangeFailed        ID = 8003
	ChangeUncertain     ID = 8004
	CredentialsReloaded ID = 8005
	CredentialsRejected ID = 8006
	AuditFailed         ID = 8007
	OperatorPanicked    ID = 8008
	WatchEnded          ID = 8009
	ControlCallSlow     ID = 8010
)

var operatorEvents = []Entry{
	{OperatorRefused, slog.LevelWarn, "operator's request without a valid token refused", "Unknown Remote: check who can reach the operators' address."},
	{ChangeApplied, slog.LevelInfo, "operator's change committed", "Unreached lists instances that have not confirmed it."},
	{ChangeFailed, slog.LevelInfo, "operator's change refused", "None; the operator has received the reason."},
	{ChangeUncertain, slog.LevelWarn, "outcome of an operator's change is unknown", "Resend it with the same RequestID; check that a majority of voters is reachable."},
	{CredentialsReloaded, slog.LevelInfo, "operators' credentials reloaded", "None."},
	{CredentialsRejected, slog.LevelError, "operators' credentials file is not valid; the previous ones stay in effect", "Correct the file; a removed operator keeps access until then."},
	{AuditFailed, slog.LevelError, "audit log cannot be written", "Free disk space; until then changes are refused, and only withdrawals of keys are made."},
	{OperatorPanicked, slog.LevelError, "handler of an operator's request panicked", "Report a bug with the stack."},
	{WatchEnded, slog.LevelInfo, "operator's watch ended", "None; clients resume after the last event."},
	{ControlCallSlow, slog.LevelWarn, "call to a control instance was refused or answered late", "Many: compare Leader with event 4002 of the others; callers wait a second for an answer."},
}
