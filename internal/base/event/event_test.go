package event_test

import (
	"bytes"
	"fmt"
	"testing"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/golden"
)

// Guards against an event that is missing from the operators' catalogue.
func TestCatalogueMatchesDocs(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprint(&b, "# Events\n\nEvery log line carries the number of its event in `Event`.\n\n")
	fmt.Fprint(&b, "| Event | Level | Message | What to do |\n|---|---|---|---|\n")
	for _, e := range event.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", e.ID, e.Level, e.Message, e.Help)
	}
	golden.Check(t, "../../../docs/events.md", b.Bytes())
}
