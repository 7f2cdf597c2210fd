package retention_test

import (
	"fmt"
	"time"

	"lycheevale/internal/state/retention"
)

func ExampleClock_Advance() {
	noon := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	var c retention.Clock
	c.Advance(noon)
	fmt.Println(c.Advance(noon.Add(24 * time.Hour)).Format(time.TimeOnly)) // a proposer whose clock has jumped
	fmt.Println(c.Advance(noon.Add(time.Minute)).Format(time.TimeOnly))
	// Output:
	// 12:10:00
	// 12:01:00
}
