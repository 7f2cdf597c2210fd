// Package seeded runs property tests with a fixed seed, so that CI results are reproducible.
package seeded

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Main runs the tests of a package with the seed and number of checks, unless the command line sets others, and
// prints the seed when a test fails. It does not return.
func Main(m *testing.M, seed string, checks int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	values := map[string]string{"rapid.seed": seed, "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"}
	for name, value := range values {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	code := m.Run()
	if code != 0 {
		fmt.Println("rapid seed:", flag.Lookup("rapid.seed").Value)
	}
	os.Exit(code)
}
