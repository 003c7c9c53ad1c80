// Package boottime reads a clock that also counts while the machine is
// suspended. Leases and authority are measured on it, because a suspended
// process must find them expired when it resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock. Only differences have a meaning.
type Instant time.Duration

// Clock returns the current reading.
type Clock func() Instant

// Now reads the machine's clock.
func Now() Instant {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists on every Linux since 2.6.39; a failure would leave
	// ts zero, which makes every lease look expired.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return Instant(ts.Nano())
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is before j.
func (i Instant) Before(j Instant) bool { return i < j }
