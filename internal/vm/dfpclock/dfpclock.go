// Package dfpclock is the clock by which a node judges how old its knowledge is.
//
// Go's monotonic clock stands still while a VM is suspended, and the time of day jumps. A node
// that relies on either would take knowledge for fresh that others have long replaced. Now
// follows CLOCK_BOOTTIME, which does neither.
//
// # Usage
//
//	readAt := dfpclock.Now()
//	age := dfpclock.Now().Sub(readAt) // Counts suspension.
//
// Times of this clock must not be compared with those of time.Now.
package dfpclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the time of day when the process began, and bootStart the clock's reading then.
var (
	start     = time.Now().Round(0)
	bootStart = boot()
)

// Now returns the time of day when the process began plus the time that has passed since, that of a
// suspension included. It carries no monotonic reading.
func Now() time.Time { return start.Add(boot() - bootStart) }

func boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("dfpclock: no CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
