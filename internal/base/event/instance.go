package event

import "log/slog"

// Events 1000 to 1999: life cycle of an instance.
const (
	InstanceStarted  ID = 1001
	InstanceReady    ID = 1002
	InstanceDraining ID = 1003
	InstanceStopped  ID = 1004
	InstanceFailed   ID = 1005
)

var instanceEvents = []Entry{
	{InstanceStarted, slog.LevelInfo, "instance started", "None."},
	{InstanceReady, slog.LevelInfo, "instance is ready", "None."},
	{InstanceDraining, slog.LevelInfo, "instance is draining", "None; running requests end first."},
	{InstanceStopped, slog.LevelInfo, "instance stopped", "None."},
	{InstanceFailed, slog.LevelError, "instance failed", "Read the error; restart after mending its cause."},
}
