package bench_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"lycheevale/internal/tool/bench"
)

// The benchmark prints one line for each policy at each site.
func ExampleRun() {
	var b bytes.Buffer
	err := bench.Run(&b, bench.WithSeeds(1), bench.WithLength(20*time.Second), bench.WithReport(""),
		bench.WithProfiles(map[string]string{
			"banksia": "../../../configs/policy-banksia.yaml", "koro": "../../../configs/policy-koro.yaml",
		}))
	fmt.Println(err, strings.Count(b.String(), "offline bound"))
	// Output: <nil> 2
}
