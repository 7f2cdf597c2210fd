package settings

import (
	"io"
	"log/slog"
	"strings"
)

// New returns a logger that writes to w in the configured format, at the configured level and above.
func (l Log) New(w io.Writer) *slog.Logger {
	var level slog.Level
	_ = level.UnmarshalText([]byte(strings.ToUpper(l.Level))) // checked by Check
	options := &slog.HandlerOptions{Level: level}
	if l.Format == "Text" {
		return slog.New(slog.NewTextHandler(w, options))
	}
	return slog.New(slog.NewJSONHandler(w, options))
}
