package route_test

import (
	"fmt"
	"time"

	"lycheevale/internal/place/route"
)

// An adapter that is asked for often stays in the entry's own data centre.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := route.New(route.WithDataCentre("suva-a"))
	endpoints := route.Prepare([]route.Candidate{
		{Endpoint: "suva-1", DataCentre: "suva-a"},
		{Endpoint: "suva-2", DataCentre: "suva-a"},
		{Endpoint: "labasa-1", DataCentre: "labasa-a"},
	})
	c, ok := r.Choose(now, route.Request{ID: "r1", Adapter: "quotes@2", Bytes: 4000}, endpoints)
	fmt.Println(c.DataCentre, c.Remote, ok)
	// Output: suva-a false true
}
