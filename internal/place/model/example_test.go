package model_test

import (
	"fmt"
	"time"

	"lycheevale/internal/place/model"
	"lycheevale/internal/place/route"
	"lycheevale/internal/place/scheduler"
)

// A run without overload completes every request and breaks no promise.
func Example() {
	site := model.Banksia()
	sc := model.Scenario{Seed: 1, Length: 30 * time.Second, Warmup: 10 * time.Second, Only: -1}
	r := model.Run(site, sc, model.Lychee("lychee", scheduler.Defaults(), route.Defaults()))
	fmt.Println(r.Requests > 100, r.FalseRefused, len(r.Violations))
	// Output: true 0 0
}
