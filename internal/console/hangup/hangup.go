// Package hangup takes SIGHUP from the start of a process on. The Go runtime ends a process at
// a SIGHUP that nothing has asked for, also while the packages of a large program are being
// initialised. This package imports little, so that it is initialised among the first.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = notify()

func notify() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Signals returns the channel on which hangups arrive, also one from before the call.
func Signals() <-chan os.Signal { return signals }

// Release lets hangups end the process, and ends it if one has arrived.
func Release() {
	signal.Stop(signals)
	select {
	case <-signals:
		os.Exit(exitStatus)
	default:
	}
}

// exitStatus is the one of a process that a SIGHUP has ended, as shells report it.
const exitStatus = 128 + int(syscall.SIGHUP)
