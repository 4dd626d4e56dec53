package dfprules

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// rate returns the value of an option of the form 120/s; 0 after an error.
func (l *lineParser) rate(o option) float64 {
	const allowed = "requests a second above 0, such as rate=120/s"
	digits, found := strings.CutSuffix(o.value, "/s")
	if !found {
		l.errorf(o.col, "%s=%s has no /s: write %s", o.name, o.value, allowed)
		return 0
	}
	return l.float(o, digits, allowed, maxRate)
}

// float returns text, the option's value without its unit, as a number above 0 and at most limit; 0
// after an error.
func (l *lineParser) float(o option, text, allowed string, limit float64) float64 {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || v <= 0 || v > limit {
		l.errorf(o.col, "%s=%s: write %s, at most %.0f", o.name, o.value, allowed, limit)
		return 0
	}
	return v
}

func (l *lineParser) integer(o option, low, high int) int {
	v, err := strconv.Atoi(o.value)
	if err != nil || v < low || v > high {
		l.errorf(o.col, "%s=%s: write a whole number from %d to %d", o.name, o.value, low, high)
		return 0
	}
	return v
}

// percent returns the value of an option of the form 25% as a fraction; 0 after an error.
func (l *lineParser) percent(o option) float64 {
	digits, found := strings.CutSuffix(o.value, "%")
	v, err := strconv.ParseFloat(digits, 64)
	if !found || err != nil || !(v > 0 && v <= 100) {
		l.errorf(o.col, "%s=%s: write a percentage above 0%% and at most 100%%, such as %s=25%%", o.name, o.value, o.name)
		return 0
	}
	return v / 100
}

// size returns the value of an option of the form 1MB in bytes; 0 after an error.
func (l *lineParser) size(o option) int64 {
	units := []struct {
		suffix string
		bytes  int64
	}{{"KB", 1000}, {"MB", 1_000_000}, {"B", 1}}
	for _, u := range units {
		digits, found := strings.CutSuffix(o.value, u.suffix)
		if !found {
			continue
		}
		v, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && v >= 0 && v <= maxMaxBody/u.bytes {
			return v * u.bytes
		}
		break
	}
	l.errorf(o.col, "%s=%s: write a whole number of B, KB or MB up to %dMB, such as %s=1MB",
		o.name, o.value, maxMaxBody/1_000_000, o.name)
	return 0
}

// choice reports whether an option's value is the word yes. Any value but the words yes and no is an error.
func (l *lineParser) choice(o option, yes, no string) bool {
	if o.value != yes && o.value != no {
		l.errorf(o.col, "%s=%s: write %s=%s or %s=%s", o.name, o.value, o.name, yes, o.name, no)
	}
	return o.value == yes
}

func (l *lineParser) duration(o option) time.Duration {
	v, err := time.ParseDuration(o.value)
	if err != nil || v < time.Millisecond || v > maxDeadline {
		l.errorf(o.col, "%s=%s: write a time from 1ms to %v, such as %s=2s", o.name, o.value, maxDeadline, o.name)
		return 0
	}
	return v
}
