package event

import "log/slog"

// Events 6000 to 6999: rates and shares.
const (
	LimitCoordinatorSilent ID = 6001
	LimitCoordinatorFound  ID = 6002
	LimitTookOver          ID = 6003
	LimitLeaderSilent      ID = 6004
	LimitLeaderFound       ID = 6005
	LimitConfirmed         ID = 6006
	LimitNotRecorded       ID = 6007
	LimitMoved             ID = 6008
)

var limitEvents = []Entry{
	{LimitCoordinatorSilent, slog.LevelWarn, "coordinator of rates does not answer", "Check the coordinator's instance; held tokens last one second."},
	{LimitCoordinatorFound, slog.LevelInfo, "coordinator of rates answers", "None."},
	{LimitTookOver, slog.LevelInfo, "coordinator of rates took over with empty buckets", "None; frequent: check the keepers."},
	{LimitLeaderSilent, slog.LevelWarn, "leader does not answer demand reports", "None at once: own shares stay usable. Check the voters."},
	{LimitLeaderFound, slog.LevelInfo, "leader answers demand reports", "None."},
	{LimitConfirmed, slog.LevelDebug, "smaller shares confirmed", "None."},
	{LimitNotRecorded, slog.LevelWarn, "keepers did not record smaller shares", "Check the keepers; the shares are confirmed later."},
	{LimitMoved, slog.LevelDebug, "shares move between data centres", "None."},
}
