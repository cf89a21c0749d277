// Package timekeeper reads the clock that all processes of a host share. It keeps no
// state and starts no goroutine.
package timekeeper

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// BootClock implements damaskspread.ElapsedClock with CLOCK_BOOTTIME. No process can
// set that clock, and it gives the same time in all processes of a host.
type BootClock struct{}

// Elapsed also counts the time during which the host was suspended.
func (BootClock) Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(fmt.Sprintf("CLOCK_BOOTTIME is not available: %v", err))
	}
	return time.Duration(now.Nano())
}
