// Package dfpclock provides the clock by which a node measures the age of its data.
//
// Go's monotonic clock stops while a VM is suspended, and the wall clock can jump. With either, a node could
// treat data as current that other nodes replaced long ago. Now follows CLOCK_BOOTTIME, which includes
// suspension and does not jump.
//
// # Usage
//
//	readAt := dfpclock.Now()
//	age := dfpclock.Now().Sub(readAt) // Includes suspension.
//
// Do not compare times of this clock with those of time.Now.
package dfpclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the wall-clock time at process start, and bootStart the reading of CLOCK_BOOTTIME then.
var (
	start     = time.Now().Round(0)
	bootStart = bootTime()
)

// Now returns the wall-clock time at process start plus the time elapsed since, suspension included. The
// result has no monotonic clock reading.
func Now() time.Time { return start.Add(bootTime() - bootStart) }

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("dfpclock: cannot read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
