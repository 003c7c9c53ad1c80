package settings

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Duration is a time with a unit, such as 500ms or 1m30s.
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText reads a duration. Unlike time.ParseDuration it accepts no
// number without a unit, not even zero.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil || parsed < 0 || strings.Trim(string(text), "+0") == "" {
		return errors.New("a duration with a unit such as 500ms, 2s or 1m")
	}
	*d = Duration(parsed)
	return nil
}

// Size is a number of bytes with a unit, such as 64KiB.
type Size int64

// units maps each unit of sizes to its bytes.
var units = map[string]int64{
	"B": 1, "KB": 1e3, "MB": 1e6, "GB": 1e9, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30,
}

// UnmarshalText reads a size.
func (s *Size) UnmarshalText(text []byte) error {
	digits := strings.TrimRight(string(text), "BKMGi")
	n, err := strconv.ParseInt(digits, 10, 64)
	unit, ok := units[string(text)[len(digits):]]
	if err != nil || !ok || n < 0 || n > math.MaxInt64/unit {
		return errors.New("a size with a unit such as 512B, 64KiB or 10MB")
	}
	*s = Size(n * unit)
	return nil
}

// String returns the size in the largest unit that needs no fraction.
func (s Size) String() string {
	for _, unit := range []string{"GiB", "MiB", "KiB"} {
		if s != 0 && int64(s)%units[unit] == 0 {
			return strconv.FormatInt(int64(s)/units[unit], 10) + unit
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}
