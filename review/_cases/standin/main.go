// Command review-stand plays the cases of the review that are scripts. It starts the
// project's own program as separate processes, plays the platform, the workers and the
// clients on loopback addresses, and judges what these have seen.
//
// The exit status is 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// caseTimeout bounds a case.
const caseTimeout = 100 * time.Second

// cases maps the name of a case to what plays it. A case returns what broke the rule, or
// "" if it held. trouble is false if the case is to be played without its disruption.
var cases = map[string]func(s *stage, trouble bool) (string, error){
	"memory":  playMemory,
	"refused": playRefused,
	"foreign": playForeign,
	"cold":    playCold,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE FOLDER")
		os.Exit(statusNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run plays one case and writes its record to a folder.
func run(name, folder string) int {
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, trouble %v", name, trouble)
	s, err := newStage(record)
	if err != nil {
		record.line("not run: %v", err)
		return statusNotRun
	}
	defer s.close()
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupts
		s.close()
		os.Exit(statusNotRun)
	}()
	timeout := time.AfterFunc(caseTimeout, func() {
		record.line("not run: no verdict after %v", caseTimeout)
		s.close()
		os.Exit(statusNotRun)
	})
	defer timeout.Stop()
	broken, err := cases[name](s, trouble)
	switch {
	case err != nil:
		record.line("not run: %v", err)
		return statusNotRun
	case broken != "":
		fmt.Println("broken:", broken)
		record.line("broken: %s", broken)
		return statusBroken
	}
	fmt.Println("held")
	record.line("held")
	return statusHeld
}
