package event

import "log/slog"

// Events 4000 to 4999: the replicated logs and their distribution.
const (
	VoterStarted       ID = 4001
	VoterRoleChanged   ID = 4002
	LogTailCut         ID = 4003
	VoterFailed        ID = 4004
	LogBootstrapped    ID = 4005
	MemberChanged      ID = 4006
	SnapshotStored     ID = 4007
	SnapshotInstalled  ID = 4008
	FeedSourceLost     ID = 4009
	FeedSnapshotLoaded ID = 4010
	FeedSourceBehind   ID = 4011
	KeyWithdrawn       ID = 4012
	VoterNotMember     ID = 4013
	SnapshotFailed     ID = 4014
)

var stateEvents = []Entry{
	{VoterStarted, slog.LevelInfo, "voter started", "None."},
	{VoterRoleChanged, slog.LevelInfo, "voter changed its role", "Many in a row: check the links between voters."},
	{LogTailCut, slog.LevelWarn, "incomplete tail of the log was cut", "None after a crash; otherwise check the disk."},
	{VoterFailed, slog.LevelError, "voter stopped", "Read the error; check the disk, then restart the instance."},
	{LogBootstrapped, slog.LevelWarn, "new log was created", "Expected once, when the first voters start."},
	{MemberChanged, slog.LevelInfo, "membership of the log changed", "None."},
	{SnapshotStored, slog.LevelInfo, "snapshot of the log stored", "None."},
	{SnapshotInstalled, slog.LevelInfo, "snapshot received from the leader", "None."},
	{FeedSourceLost, slog.LevelWarn, "source of the configuration does not answer", "Check the link to the source."},
	{FeedSnapshotLoaded, slog.LevelInfo, "configuration loaded from a snapshot", "None."},
	{FeedSourceBehind, slog.LevelInfo, "source of the configuration is behind and was not used", "None; another is tried."},
	{KeyWithdrawn, slog.LevelInfo, "key withdrawn", "None."},
	{VoterNotMember, slog.LevelWarn, "voter waits to join the log", "Lasting: check that other voters answer."},
	{SnapshotFailed, slog.LevelWarn, "snapshot of the log could not be written", "Check the space on the disk; the log grows until one is written."},
}
