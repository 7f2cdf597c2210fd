package control

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"lycheevale/internal/limit/quota"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
)

// newLargeLeaderState returns the leader of a large deployment: 90 engines, 75 entries, 16 customers.
func newLargeLeaderState() *leaderState {
	o := newTestLeaderState()
	for e := range 90 {
		a := roster.Announcement{
			ID: fmt.Sprintf("i-%010d", e), Service: "s", DataCentre: fmt.Sprint("dc-", e%6), Sequence: 1, Slots: 16,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(e)}), 80), Models: []string{"m"},
		}
		for n := range 11 {
			a.Holdings = append(a.Holdings, residency.Holding{Adapter: residency.Adapter{Model: "m", Name: fmt.Sprint("a", e*7+n)}})
		}
		if _, err := o.announce(a); err != nil {
			panic(err)
		}
		o.placer.SetEndpoint(o.now(), residency.Endpoint{
			ID: a.ID, Service: "s", DataCentre: a.DataCentre, Models: a.Models, Slots: 13, Accepting: true, Holdings: a.Holdings,
		})
	}
	for n := range 16 {
		o.limits[fmt.Sprint("customer-", n)] = quota.Limit{Rate: 100_000, Burst: 100_000}
	}
	return o
}

func largeReport(entry int) report.Entry {
	r := report.Entry{
		Name: fmt.Sprint("edge-", entry), DataCentre: "dc-1", Term: 1, Active: map[string]int{}, Customers: map[string]quota.Use{},
	}
	for n := range 20 {
		id := fmt.Sprintf("i-%010d", (entry+n)%90)
		r.Active[id] = 1
		a := residency.Adapter{Model: "m", Name: fmt.Sprint("a", (entry+n)%90*7)}
		r.Uses = append(r.Uses, residency.Use{Endpoint: id, Adapter: a, Count: 1, Active: 1})
	}
	for n := range 16 {
		r.Customers[fmt.Sprint("customer-", n)] = quota.Use{Demand: 1333.333, Held: 1200, Extra: 1500, Request: 1400, Missing: 900}
	}
	return r
}

// BenchmarkReport measures the leader's work for one report, including JSON decoding of the report and encoding of the answer.
func BenchmarkReport(b *testing.B) {
	for _, state := range []string{"unchanged", "adapters move", "endpoints change"} {
		b.Run(state, func(b *testing.B) {
			o := newLargeLeaderState()
			reports := make([][]byte, 75)
			for i := range reports {
				r := largeReport(i)
				r.Directory, r.Placement = o.directoryRevision(), 1_000
				_, r.Placement, _ = o.placer.Since(0)
				if state == "endpoints change" {
					r.Directory--
				}
				reports[i], _ = json.Marshal(r)
			}
			if state == "adapters move" {
				for n := range 80 { // half a second of orders
					a := residency.Adapter{Model: "m", Name: fmt.Sprint("new", n)}
					if c, ok := o.placer.Want(o.now(), a, "dc-1", false); ok {
						o.placer.LoadAccepted(o.now(), c.Endpoint, c.Holding)
					}
				}
				o.placer.Tick(o.now().Add(time.Second))
			}
			bytes := 0
			for i := 0; b.Loop(); i++ {
				var r report.Entry
				if err := json.Unmarshal(reports[i%75], &r); err != nil {
					b.Fatal(err)
				}
				u := o.sync(r)
				answer, err := json.Marshal(u)
				if err != nil {
					b.Fatal(err)
				}
				bytes += len(answer)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
