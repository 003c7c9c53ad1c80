package ratelimit

import (
	"fmt"
	"regexp"
	"strconv"
)

// Bounds of a limit. A value outside of them is taken for an error of the server.
const (
	// minRate is the lowest limit, in requests per second.
	minRate = 1e-3
	// maxRate is far above what any server serves, in requests per second.
	maxRate = 1e6
	// maxTextBytes bounds the length of the header's value.
	maxTextBytes = 32
)

// Announcement is what one response says about the server's limit.
type Announcement uint8

// Announcements.
const (
	// Unstated: the response says nothing, because it is malformed or not the
	// server's own.
	Unstated Announcement = iota
	// Limited: the server accepts a limited rate.
	Limited
	// Unlimited: the server announces no limit, so that an earlier one has ended.
	Unlimited
)

// decimal matches decimal numbers without sign and exponent.
var decimal = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?$`)

// InvalidRateError reports a limit that is malformed or out of bounds.
type InvalidRateError struct{ Values []string }

// Error describes the values that were received.
func (e *InvalidRateError) Error() string {
	return fmt.Sprintf("rate limit %q is not one decimal number from %g to %g", e.Values, minRate, maxRate)
}

// ParseRate parses the values of the header with a server's limit. No value means
// that there is no limit.
func ParseRate(values []string) (Announcement, float64, error) {
	if len(values) == 0 {
		return Unlimited, 0, nil
	}
	if len(values) == 1 && len(values[0]) <= maxTextBytes && decimal.MatchString(values[0]) {
		if rate, err := strconv.ParseFloat(values[0], 64); err == nil && isValidRate(rate) {
			return Limited, rate, nil
		}
	}
	return Unstated, 0, &InvalidRateError{Values: values}
}

// isValidRate reports whether a rate is within the bounds. It is false for NaN.
func isValidRate(rate float64) bool { return rate >= minRate && rate <= maxRate }
