package detector_test

import (
	"fmt"
	"time"

	"lycheevale/internal/member/detector"
)

// On a link that loses up to 10% of the heartbeats, six missed heartbeats give a suspicion of 6.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	d := detector.New(detector.WithLoss(0.1, 0.1), detector.WithDelay(0, 0))
	d.Heartbeat(now, "suva-a-2")
	fmt.Printf("%.0f %v\n", d.Suspicion(now.Add(3*time.Second), "suva-a-2"), d.Suspect(now.Add(5*time.Second), "suva-a-2"))
	fmt.Println(d.Bound(), d.Suspect(now.Add(d.Bound()), "suva-a-2"))
	// Output:
	// 3 false
	// 6s true
}
