package decode

import (
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"winghatch/internal/config/kdl"
)

// String returns a function that reads a non-empty string.
func String(to *string) func(Setting) {
	return func(s Setting) {
		if s.Value.Kind != kdl.String || s.Value.Text == "" {
			s.Reject("a string that is not empty")
			return
		}
		*to = s.Value.Text
	}
}

// Bool returns a function that reads #true or #false.
func Bool(to *bool) func(Setting) {
	return func(s Setting) {
		if s.Value.Kind != kdl.Bool {
			s.Reject("#true or #false")
			return
		}
		*to = s.Value.Bool
	}
}

func isFinite(v kdl.Value) bool {
	return v.Kind == kdl.Number && !math.IsNaN(v.Num) && !math.IsInf(v.Num, 0)
}

// Number returns a function that reads a finite number from lowest to highest, both included.
func Number(to *float64, lowest, highest float64) func(Setting) {
	return func(s Setting) {
		if !isFinite(s.Value) || s.Value.Num < lowest || s.Value.Num > highest {
			s.Reject(describeRange("a number", lowest, highest))
			return
		}
		*to = s.Value.Num
	}
}

// Int returns a function that reads an integer from lowest to highest, both included.
func Int(to *int, lowest, highest int) func(Setting) {
	return func(s Setting) {
		if v := s.Value.Num; !isFinite(s.Value) || v != math.Trunc(v) ||
			v < float64(lowest) || v > float64(highest) {
			s.Reject(describeRange("a whole number", float64(lowest), float64(highest)))
			return
		}
		*to = int(s.Value.Num)
	}
}

// describeRange describes the valid values for an error. An upper bound of math.MaxInt32 or more counts as no
// bound.
func describeRange(what string, lowest, highest float64) string {
	if highest >= math.MaxInt32 {
		return fmt.Sprintf("%s of %v or more", what, lowest)
	}
	return fmt.Sprintf("%s from %v to %v", what, lowest, highest)
}

// maxDuration is the longest valid duration of a setting.
const maxDuration = 24 * time.Hour

// Duration returns a function that reads a duration such as "500ms", from shortest to maxDuration.
func Duration(to *time.Duration, shortest time.Duration) func(Setting) {
	return func(s Setting) {
		v, err := time.ParseDuration(s.Value.Text)
		if s.Value.Kind != kdl.String || err != nil || v < shortest || v > maxDuration {
			s.Reject(fmt.Sprintf("a duration such as \"500ms\", from %v to %v", shortest, maxDuration))
			return
		}
		*to = v
	}
}

// perSecond maps a unit of time to the factor that converts a rate per unit to a rate per second.
var perSecond = map[string]float64{"ms": 1000, "s": 1, "min": 1. / 60, "h": 1. / 3600}

// Rate returns a function that reads a rate such as "12/s" or "90/min" and stores it as a rate per second.
func Rate(to *float64) func(Setting) {
	return func(s Setting) {
		n, unit, ok := strings.Cut(s.Value.Text, "/")
		v, err := strconv.ParseFloat(n, 64)
		per := perSecond[unit]
		if s.Value.Kind != kdl.String || !ok || err != nil || per == 0 || !(v >= 0) || math.IsInf(v*per, 0) {
			s.Reject(`a rate such as "12/s", at least 0, per ms, s, min or h`)
			return
		}
		*to = v * per
	}
}

var sizeUnits = map[string]int{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30}

// Size returns a function that reads a number of bytes from 1 to math.MaxInt32, given as an integer or with a
// unit, such as "64KiB".
func Size(to *int) func(Setting) {
	return func(s Setting) {
		n, unit := s.Value.Text, 1
		for suffix, size := range sizeUnits {
			if digits, ok := strings.CutSuffix(n, suffix); ok {
				n, unit = digits, size
			}
		}
		v, err := strconv.Atoi(n)
		if err != nil || v < 1 || v > math.MaxInt32/unit {
			s.Reject(`a size such as "64KiB"`)
			return
		}
		*to = v * unit
	}
}

// Choice returns a function that reads one of the keys of from and stores the value of that key.
func Choice[T any](to *T, from map[string]T) func(Setting) {
	return func(s Setting) {
		v, ok := from[s.Value.Text]
		if s.Value.Kind != kdl.String || !ok {
			s.Reject("one of " + strings.Join(SortedKeys(from), ", "))
			return
		}
		*to = v
	}
}

// Address returns a function that reads an address of the form host:port. The host must not be empty.
func Address(to *string) func(Setting) {
	return func(s Setting) {
		host, port, err := net.SplitHostPort(s.Value.Text)
		n, perr := strconv.ParseUint(port, 10, 16)
		if s.Value.Kind != kdl.String || err != nil || perr != nil || host == "" || n > 65535 {
			s.Reject(`an address such as "127.0.0.1:8080"`)
			return
		}
		*to = s.Value.Text
	}
}
