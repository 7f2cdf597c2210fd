// Package event defines the numbered log events; docs/events.md is their catalogue.
package event

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
)

// ID is the number of an event. The meaning of a number never changes.
type ID int

// Entry describes one event for the catalogue.
type Entry struct {
	ID      ID
	Level   slog.Level
	Message string
	Help    string // what an operator should do or check
}

var catalogue = build(instanceEvents, entryEvents, ownerEvents, stateEvents, memberEvents, limitEvents, wireEvents,
	operatorEvents)

func build(groups ...[]Entry) map[ID]Entry {
	all := map[ID]Entry{}
	for _, e := range slices.Concat(groups...) {
		if _, taken := all[e.ID]; taken {
			panic(fmt.Sprintf("event %d is defined twice", e.ID))
		}
		all[e.ID] = e
	}
	return all
}

// Log writes the event with its number, level and fixed message; attrs carry the variable part.
func Log(ctx context.Context, logger *slog.Logger, id ID, attrs ...slog.Attr) {
	e, known := catalogue[id]
	if !known {
		panic(fmt.Sprintf("event %d is not in the catalogue", id))
	}
	if logger == nil || !logger.Enabled(ctx, e.Level) {
		return
	}
	logger.LogAttrs(ctx, e.Level, e.Message, append([]slog.Attr{slog.Int("Event", int(id))}, attrs...)...)
}

// Catalogue returns all events in the order of their numbers.
func Catalogue() []Entry {
	all := make([]Entry, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return int(a.ID - b.ID) })
	return all
}
