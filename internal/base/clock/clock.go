// Package clock reads a clock that goes on while the machine is suspended, which the steady clock of the runtime does
// not. Leases and deadlines that other instances rely on are judged by it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspensions included, as a time that only compares with others of this process. It
// falls back to the time of day where the system has no such clock.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Now().Round(0)
	}
	return time.Unix(t.Sec, t.Nsec)
}
