// Package boottime reads a clock that keeps running while the machine is
// suspended. Leases, grants and the leader's authority are measured on it, because a
// suspended process must find them expired when it resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock. Only differences between readings are
// meaningful.
type Instant time.Duration

// Clock returns the current reading.
type Clock func() Instant

// Now reads the machine's clock.
func Now() Instant {
	var ts unix.Timespec
	// CLOCK_BOOTTIME exists since Linux 2.6.39, so the call does not fail in
	// practice. A failure would read as instant 0.
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
