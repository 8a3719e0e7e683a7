// Rig runs a case of the review: it starts the system's processes before stand-ins of the
// platform's store, the workers, the operator and the clients, and judges what these have seen.
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// cases holds the cases by name. Each runs a test and returns what broke the rule, or nothing.
var cases = map[string]func(t *test) (broken []string, err error){
	"revoke": revoke, "evacuate": evacuate, "leave": leave,
}

func main() {
	lockThread()
	name := flag.String("case", "", "the case")
	dir := flag.String("dir", "", "the case's folder")
	keep := flag.Bool("keep", false, "keep the processes' logs and print where they are")
	flag.Parse()
	run := cases[*name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(play(run, *dir, *keep))
}

func play(run func(t *test) ([]string, error), dir string, keep bool) int {
	temporary, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if keep {
		fmt.Println(temporary)
	} else {
		defer os.RemoveAll(temporary)
	}
	t := &test{temporary: temporary, trouble: os.Getenv("TROUBLE") != "0", requests: map[string]*request{}, stop: make(chan struct{}), start: time.Now()}
	broken, err := run(t)
	t.finish()
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	}
	verdict, code := "the rule held", 0
	if len(broken) > 0 {
		verdict, code = fmt.Sprintf("the rule was broken %d times, first: %s", len(broken), broken[0]), 1
	}
	fmt.Println(verdict)
	if err := t.write(dir, verdict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
