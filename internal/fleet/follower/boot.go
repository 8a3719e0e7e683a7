package follower

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemBootClock reads CLOCK_BOOTTIME, which includes the time that the machine
// was suspended; the monotonic clock doesn't.
type systemBootClock struct{}

// Elapsed implements BootClock. It panics if the clock can't be read, since
// without it the age of a confirmation is unknown.
func (systemBootClock) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
