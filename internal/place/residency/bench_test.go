package residency_test

import (
	"fmt"
	"testing"
	"time"

	"lycheevale/internal/place/residency"
)

// nearlyFullPlacer returns a placer with the engines of the larger deployment, with 11 of 13 slots taken on each.
func nearlyFullPlacer(now time.Time) *residency.Placer {
	p := residency.New(residency.Defaults())
	for e := range 90 {
		s := residency.Endpoint{
			ID: fmt.Sprint("e", e), DataCentre: fmt.Sprint("dc", e%6), Models: []string{"m"}, Slots: 13, Accepting: true,
		}
		for a := range 11 {
			s.Holdings = append(s.Holdings, residency.Holding{Adapter: residency.Adapter{Model: "m", Name: fmt.Sprint("a", e*7+a)}})
		}
		p.SetEndpoint(now, s)
	}
	return p
}

func BenchmarkWant(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := nearlyFullPlacer(now)
	for i := 0; b.Loop(); i++ {
		a := residency.Adapter{Model: "m", Name: fmt.Sprint("new", i)}
		if c, ok := p.Want(now, a, "dc1", false); ok {
			p.LoadRefused(now.Add(-time.Hour), c.Endpoint, a)
		}
	}
}

func BenchmarkTick(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := nearlyFullPlacer(now)
	for b.Loop() {
		p.Tick(now)
		p.MakeRoom(now)
	}
}

func BenchmarkYields(b *testing.B) {
	now := time.Unix(1_800_000_000, 0)
	p := nearlyFullPlacer(now)
	for b.Loop() {
		p.MayFreePlace(now)
	}
}
