package control

import (
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/place/residency"
)

// FuzzEntryReport sends reports of any content to a leader. Guards against a leader that one malformed report ends.
func FuzzEntryReport(f *testing.F) {
	for _, r := range []report.Entry{
		{Name: "a", Active: map[string]int{"x": 2}, Backlog: map[string]int{"x": -5}},
		{Name: "b", Customers: map[string]quota.Use{"c": {Demand: 10, Missing: -1}}, Uses: []residency.Use{{Endpoint: "x", Active: -3}}},
		{Name: "c", Directory: 4, Known: knownEndpoints("x", "y"), Answers: []residency.Use{{Endpoint: "x"}}},
	} {
		message, err := json.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		var packed []byte
		if err := json.Unmarshal(message, &packed); err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	f.Fuzz(func(t *testing.T, packed []byte) {
		message, err := json.Marshal(packed)
		if err != nil {
			t.Fatal(err)
		}
		var r report.Entry
		if json.Unmarshal(message, &r) != nil {
			return
		}
		ls := newEngineLeaderState()
		ls.control = New(WithSettings(deployment.Settings{Heartbeat: 1200}), WithLogger(slog.New(slog.DiscardHandler)), WithNow(time.Now))
		ls.sync(r)
		ls.sync(r)
		ls.removeSilentEntries(ls.now().Add(time.Hour))
		if len(ls.active) > 0 || len(ls.backlog) > 0 {
			t.Errorf("after the entry has stopped: active %v, backlog %v", ls.active, ls.backlog)
		}
	})
}
