package locality_test

import (
	"fmt"

	"lycheevale/internal/base/locality"
)

func ExampleRegions_Distance() {
	regions := locality.Regions{"brisbane-a": "brisbane", "brisbane-b": "brisbane", "townsville-a": "townsville"}
	fmt.Println(regions.Distance("brisbane-a", "brisbane-a") == locality.Same)
	fmt.Println(regions.Distance("brisbane-a", "brisbane-b") == locality.Near)
	fmt.Println(regions.Distance("brisbane-a", "townsville-a") == locality.Far)
	fmt.Println(regions.Distance("brisbane-a", "unknown") == locality.Far)
	fmt.Println(regions.Distance("unknown-a", "unknown-b") == locality.Far)
	// Output:
	// true
	// true
	// true
	// true
	// true
}
