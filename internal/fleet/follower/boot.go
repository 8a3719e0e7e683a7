package follower

import (
	"time"

	"golang.org/x/sys/unix"
)

// systemBoot reads the kernel's clock that includes suspended time, which the
// steady clock leaves out.
type systemBoot struct{}

// Elapsed implements BootClock. A clock that can't be read is a broken system
// and stops the process, since no confirmation could be trusted.
func (systemBoot) Elapsed() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("read the boot clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
