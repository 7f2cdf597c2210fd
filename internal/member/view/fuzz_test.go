package view_test

import (
	"encoding/json"
	"testing"
	"time"

	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
)

// FuzzUpdate applies updates of any content to a view. Guards against an entry that one malformed update ends.
func FuzzUpdate(f *testing.F) {
	for _, u := range []report.Update{
		{Leading: true, Term: 1, Directory: 2, Endpoints: []report.Endpoint{{ID: "x", Service: "s"}}, Running: []int{1}, Backlog: []int{5}},
		{Leading: true, Term: 2, Directory: 3, Running: []int{1, 2, 3}, Content: []byte("packed"), Document: 4},
		{Leading: true, Reset: true, Events: []residency.Event{{Endpoint: "x", Holding: residency.Holding{Version: 3}}}},
	} {
		message, err := json.Marshal(u)
		if err != nil {
			f.Fatal(err)
		}
		var packed []byte
		if err := json.Unmarshal(message, &packed); err != nil {
			f.Fatal(err)
		}
		f.Add(packed)
	}
	decode := func([]byte) (document.Document, error) { return document.Document{}, nil }
	f.Fuzz(func(t *testing.T, packed []byte) {
		message, err := json.Marshal(packed)
		if err != nil {
			t.Fatal(err)
		}
		var u report.Update
		if json.Unmarshal(message, &u) != nil {
			return
		}
		v := view.New()
		for range 2 {
			if _, err := v.Apply(time.Unix(0, 0), u, decode); err != nil {
				return
			}
		}
		v.KnownEndpoints()
		v.Holders("s", residency.Adapter{})
		v.Backlog("x")
	})
}
