package event

import "log/slog"

// Events 2000 to 2999: the request path at an entry.
const (
	RequestRefused    ID = 2001
	RequestRetried    ID = 2002
	AnswerDiscarded   ID = 2003
	StreamRevoked     ID = 2004
	StreamCut         ID = 2005
	RequestPanicked   ID = 2006
	OutcomeUncertain  ID = 2007
	RequestServed     ID = 2008
	ViewUpdated       ID = 2009
	LeaderFound       ID = 2010
	LeaderSilent      ID = 2011
	AdapterRequested  ID = 2012
	ViewRefused       ID = 2013
	EndpointProbed    ID = 2014
	DeputiesNamed     ID = 2015
	DeputyLent        ID = 2016
	BuffersFull       ID = 2017
	AnswerMalformed   ID = 2018
	BrokenUnanswered  ID = 2019
	QuarantineUpdated ID = 2020
	CrashUnreported   ID = 2021
	EndpointLeaves    ID = 2022
	EndpointPaused    ID = 2023
	EndpointLimit     ID = 2024
	EndpointAtLimit   ID = 2025
	StreamContinued   ID = 2026
	IncarnationAsked  ID = 2027
	SoftwareUnknown   ID = 2028
	LeftExposed       ID = 2029
)

var entryEvents = []Entry{
	{RequestRefused, slog.LevelInfo, "request refused", "Compare Code with the callers' page."},
	{RequestRetried, slog.LevelInfo, "request retried on another endpoint", "Many in a row: check the endpoint."},
	{AnswerDiscarded, slog.LevelWarn, "answer with a foreign attempt identifier discarded", "Check the endpoint: it crosses answers."},
	{StreamRevoked, slog.LevelInfo, "stream ended because its key was withdrawn", "None."},
	{StreamCut, slog.LevelWarn, "stream from an endpoint ended before its end marker", "Check the endpoint and the network."},
	{RequestPanicked, slog.LevelError, "request handler panicked", "Report a bug with the stack."},
	{OutcomeUncertain, slog.LevelWarn, "outcome of a non-idempotent request is unknown", "Check with the service before repeating it."},
	{RequestServed, slog.LevelInfo, "request served", "None."},
	{ViewUpdated, slog.LevelInfo, "configuration or endpoints changed", "None."},
	{LeaderFound, slog.LevelInfo, "leader of the control instances answers", "None."},
	{LeaderSilent, slog.LevelWarn, "leader of the control instances does not answer", "Lasting: check the control instances and the way to them."},
	{AdapterRequested, slog.LevelInfo, "leader was asked for an adapter", "Many failures: check the endpoints' orders (event 5013)."},
	{ViewRefused, slog.LevelError, "configuration from the leader cannot be read", "Two versions of the program run together; finish the roll-out."},
	{EndpointPaused, slog.LevelInfo, "endpoint asked for no requests for some time", "Frequent: check the load of the endpoint."},
	{EndpointLimit, slog.LevelInfo, "endpoint named another number of requests that it takes, or none any more", "Frequent: check the load of the endpoint."},
	{EndpointAtLimit, slog.LevelInfo, "endpoint takes no more requests of this entry for now", "Many: check the load of the endpoint that it names."},
	{StreamContinued, slog.LevelInfo, "software version of a stream that a caller continues was looked up", "Many without Known: check the control instances; several entries may have restarted."},
	{IncarnationAsked, slog.LevelInfo, "endpoint was asked for its start time, because the list does not show its software version", "Not Same: it has restarted. Lasting, with a high ViewAgeMillis: check the way to the control instances."},
	{SoftwareUnknown, slog.LevelInfo, "software version that began a stream is not known, so that nothing can continue the stream", "See event 2027 of the same attempt."},
	{LeftExposed, slog.LevelWarn, "process of an endpoint has ended while it may have run requests whose callers had left", "Several: see event 5020."},
	{EndpointLeaves, slog.LevelInfo, "endpoint stated in an answer that it leaves", "None."},
	{EndpointProbed, slog.LevelInfo, "silent endpoint was probed with a new connection", "With an Error: check the endpoint and the way to it."},
	{DeputiesNamed, slog.LevelInfo, "leader named the deputies that lend without it", "None."},
	{DeputyLent, slog.LevelInfo, "deputy decided on requests of another entry", "None; lasting: check the control instances."},
	{BuffersFull, slog.LevelWarn, "memory for bodies of requests and answers is in use", "Frequent: add instances, or find the callers or the endpoint that send large bodies."},
	{BrokenUnanswered, slog.LevelWarn, "connection of a request broke before its answer began; the endpoint is checked", "Several with the same Request or Parts: see event 5020."},
	{QuarantineUpdated, slog.LevelInfo, "quarantined signatures of requests changed", "None; see event 5020."},
	{CrashUnreported, slog.LevelInfo, "leader of the configuration log could not be told of a crashed endpoint", "None; it is told again. Lasting: check the links to the voters."},
	{AnswerMalformed, slog.LevelWarn, "answer of an endpoint breaks the protocol", "Check the endpoint; it gets no requests for a while."},
}
