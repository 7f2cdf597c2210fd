package event

import "log/slog"

// Events 2000 to 2999: the request path at an entry.
const (
	RequestRefused   ID = 2001
	RequestRetried   ID = 2002
	AnswerDiscarded  ID = 2003
	StreamRevoked    ID = 2004
	StreamCut        ID = 2005
	RequestPanicked  ID = 2006
	OutcomeUncertain ID = 2007
)

var entryEvents = []Entry{
	{RequestRefused, slog.LevelInfo, "request refused", "Compare Code with the callers' page."},
	{RequestRetried, slog.LevelInfo, "request retried on another endpoint", "Many in a row: check the endpoint."},
	{AnswerDiscarded, slog.LevelWarn, "answer with a foreign attempt identifier discarded", "Check the endpoint: it crosses answers."},
	{StreamRevoked, slog.LevelInfo, "stream ended because its key was withdrawn", "None."},
	{StreamCut, slog.LevelWarn, "stream from an endpoint ended before its end marker", "Check the endpoint and the network."},
	{RequestPanicked, slog.LevelError, "request handler panicked", "Report a bug with the stack."},
	{OutcomeUncertain, slog.LevelWarn, "outcome of a non-idempotent request is unknown", "Check with the service before repeating it."},
}
