package event

import "log/slog"

// Events 3000 to 3999: owners, engines and adapters.
const (
	EndpointAcquired  ID = 3001
	EndpointReleased  ID = 3002
	EndpointRestarted ID = 3003
	LoadFailed        ID = 3004
	EndpointSilent    ID = 3005
	ConnectionSilent  ID = 3006
	OrderRefused      ID = 3007
)

var ownerEvents = []Entry{
	{EndpointAcquired, slog.LevelInfo, "endpoint ownership acquired", "None."},
	{EndpointReleased, slog.LevelInfo, "endpoint ownership released", "None."},
	{EndpointRestarted, slog.LevelWarn, "endpoint restarted empty", "Repeated: check the engine."},
	{LoadFailed, slog.LevelWarn, "adapter load failed", "Check the adapter's source in the weight store."},
	{EndpointSilent, slog.LevelWarn, "endpoint does not answer", "Check the endpoint's host."},
	{ConnectionSilent, slog.LevelWarn, "connection went silent and was closed", "Many: check devices that track connections."},
	{OrderRefused, slog.LevelWarn, "endpoint refused an order with an old fencing number", "None; ownership has moved."},
}
