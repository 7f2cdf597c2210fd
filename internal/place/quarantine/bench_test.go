package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"lycheevale/internal/place/quarantine"
)

// busyCrash returns a report of a crash to which 60 requests were exposed, with about 200 signatures.
func busyCrash(random *rand.Rand, n int) quarantine.Crash {
	c := quarantine.Crash{Incarnation: quarantine.Incarnation{Endpoint: fmt.Sprint("e", n), Born: 1}, Service: "s"}
	for r := range 60 {
		for _, id := range []string{
			quarantine.Request(fmt.Append(nil, n, r)), fmt.Sprint("common", random.IntN(50)), fmt.Sprint("rare", random.IntN(2000)),
			quarantine.Adapter("m", fmt.Sprint(random.IntN(40))), quarantine.Customer(fmt.Sprint(random.IntN(20))),
		} {
			c.Exposed = append(c.Exposed, quarantine.Exposure{ID: id, WaitedMillis: int64(random.IntN(400))})
		}
	}
	return c
}

// BenchmarkLeader measures what the leader does each 100 ms with 256 crashes on record: without news, and with a crash each second and begins of
// most suspects each time.
func BenchmarkLeader(b *testing.B) {
	for _, busy := range []bool{false, true} {
		b.Run(fmt.Sprint("busy=", busy), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			d := quarantine.NewDetector(quarantine.DefaultOptions())
			now, crashes := at(0), 0
			report := func(c quarantine.Crash) {
				d.Record(now, "entry", []quarantine.Crash{c})
				crashes++
			}
			begins := func() {
				var list []quarantine.Begin
				for _, s := range d.Suspects() {
					if random.IntN(10) > 0 {
						list = append(list, quarantine.Begin{Signature: s, AgoMillis: 0})
					}
				}
				d.RecordBegins(now, list)
			}
			for range 256 {
				now = now.Add(time.Second)
				report(busyCrash(random, crashes))
				begins()
			}
			tick := 0
			for b.Loop() {
				now = now.Add(100 * time.Millisecond)
				tick++
				if busy && tick%10 == 0 {
					b.StopTimer() // to make the report
					c := busyCrash(random, crashes)
					b.StartTimer()
					report(c)
				}
				if busy {
					begins()
				}
				d.Suspects()
				d.Blame(now)
			}
		})
	}
}
