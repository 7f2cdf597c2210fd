// Package measure reads the processor time of the process for the benchmarks behind docs/CAPACITY.md.
package measure

import (
	"syscall"
	"testing"
	"time"
)

// ProcessorTime returns the user and system time of this process, which does not grow while it waits for a processor.
func ProcessorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		tb.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
