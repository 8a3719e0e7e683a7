// Command standin runs the scripted cases of the second review: it starts instances with the
// command of the deploy file before stand-ins of the store, of workers and of clients, on
// loopback addresses, and judges what clients and workers have seen. It exits with 1 if the
// rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases holds the cases by name. trouble is false if the run leaves the disruption out. A case
// reports whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){
	"cold": runCold,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	runtime.LockOSThread() // the instances end with the thread that started them
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotRun
	}
	w, err := newWorld(args[1], args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	broken, err := cases[args[0]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.logf("not run: %v", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}
