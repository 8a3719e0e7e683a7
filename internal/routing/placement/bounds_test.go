package placement_test

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// bound returns the named target from testdata/bounds.txt.
func bound(tb testing.TB, name string) float64 {
	tb.Helper()
	data, err := os.ReadFile("testdata/bounds.txt")
	if err != nil {
		tb.Fatal(err)
	}
	for line := range strings.Lines(string(data)) {
		key, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		if key != name {
			continue
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil {
			tb.Fatal(err)
		}
		return v
	}
	tb.Fatalf("no bound %s", name)
	return 0
}

// parallel calls f for 0 to n-1 from up to three goroutines.
func parallel(n int, f func(i int)) {
	var wg sync.WaitGroup
	next := make(chan int)
	for range min(3, runtime.GOMAXPROCS(0)) {
		wg.Go(func() {
			for i := range next {
				f(i)
			}
		})
	}
	for i := range n {
		next <- i
	}
	close(next)
	wg.Wait()
}
