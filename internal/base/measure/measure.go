// Package measure holds what the tests and benchmarks behind docs/CAPACITY.md share.
package measure

import (
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

// ProcessorTime returns the user and system time of this process, which waiting for a busy machine does not raise.
func ProcessorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Target fails the test when ok is false, unless KNOWN-RED.txt in the root lists the test: then it is skipped with the
// figures. A listed test that passes fails, so that its entry is removed. The caller's package is three levels deep.
func Target(t *testing.T, ok bool, figures string) {
	t.Helper()
	t.Log(figures)
	known, err := os.ReadFile("../../../KNOWN-RED.txt")
	if err != nil {
		t.Fatal(err)
	}
	switch listed := slices.Contains(strings.Split(string(known), "\n"), "test: "+t.Name()); {
	case ok && listed:
		t.Errorf("passes, remove it from KNOWN-RED.txt: %s", figures)
	case !ok && listed:
		t.Skipf("KNOWN-RED: %s", figures)
	case !ok:
		t.Error(figures)
	}
}
