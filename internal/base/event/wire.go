package event

import "log/slog"

// Events 7000 to 7999: links between instances.
const (
	LinkLost          ID = 7001
	DialFailed        ID = 7002
	LinkRefused       ID = 7003
	AcceptFailed      ID = 7004
	HandlerPanicked   ID = 7005
	KeysFailed        ID = 7006
	ClientRefused     ID = 7007
	ClientBufferUnset ID = 7008
)

var wireEvents = []Entry{
	{LinkLost, slog.LevelInfo, "link to an instance closed", "Many with a silent link as the error: check devices that track connections."},
	{DialFailed, slog.LevelWarn, "instance cannot be dialled", "None if it was stopped; otherwise check its address, its keys and the network."},
	{LinkRefused, slog.LevelWarn, "link of another instance refused", "Check that the certificate names the instance and is signed by the authority."},
	{AcceptFailed, slog.LevelError, "link could not be accepted", "Raise the limit of file descriptors, or look for an instance that dials too often."},
	{HandlerPanicked, slog.LevelError, "handler of a message panicked", "Report a bug with the stack."},
	{KeysFailed, slog.LevelError, "changed keys cannot be read; the previous ones stay in use", "Correct the files of certificate, key and authority."},
	{ClientRefused, slog.LevelInfo, "connection of a client refused or closed because of a limit", "None for single ones; many from one address are a client that does not behave."},
	{ClientBufferUnset, slog.LevelWarn, "size of the buffers of connections cannot be set", "None; a crowd of clients may use more memory of the system."},
}
