package event

import "log/slog"

// Events 1000 to 1999: life cycle of an instance.
const (
	InstanceStarted   ID = 1001
	InstanceReady     ID = 1002
	InstanceDraining  ID = 1003
	InstanceStopped   ID = 1004
	InstanceFailed    ID = 1005
	HandOverFailed    ID = 1006
	BootstrapFailed   ID = 1007
	WithdrawalPending ID = 1008
	SettingsReloaded  ID = 1009
	SettingsInvalid   ID = 1010
	LogLinesLost      ID = 1011
	TaskPanicked      ID = 1012
)

var instanceEvents = []Entry{
	{InstanceStarted, slog.LevelInfo, "instance started", "None."},
	{InstanceReady, slog.LevelInfo, "instance is ready", "None."},
	{InstanceDraining, slog.LevelInfo, "instance is draining", "None; running requests end first."},
	{InstanceStopped, slog.LevelInfo, "instance stopped", "None."},
	{HandOverFailed, slog.LevelWarn, "endpoints were not handed over before the bound", "Raise Shutdown.Bound; the leases end on their own."},
	{BootstrapFailed, slog.LevelError, "first configuration was not accepted", "Read the error and correct the objects."},
	{WithdrawalPending, slog.LevelWarn, "withdrawal of a key is not in the log yet", "Check that a majority of the voters is reachable."},
	{SettingsReloaded, slog.LevelInfo, "settings file was read again", "None."},
	{SettingsInvalid, slog.LevelError, "changed settings file is not valid; the settings before stay in effect", "Correct the file."},
	{LogLinesLost, slog.LevelWarn, "log lines were lost because their reader was too slow", "Check the reader of the standard output."},
	{TaskPanicked, slog.LevelError, "background task failed unexpectedly; the process goes on", "Report the stack; the task is repeated or its requests end with their timeouts."},
	{InstanceFailed, slog.LevelError, "instance failed", "Read the error; restart after mending its cause."},
}
