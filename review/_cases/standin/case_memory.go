package main

import (
	"bytes"
	"fmt"
	"sync"
	"time"
)

const (
	// maxBody is MaxBodyBytes of the configuration. It is what a client may send.
	maxBody = 4 << 20
	// usualRate is the number of requests a second, burstFactor that of a burst.
	usualRate   = 6
	burstFactor = 2
)

// playMemory sends prompts of the size that the configuration allows to one instance. With
// the trouble there is a burst of twice the usual traffic. The platform ends a process
// whose memory exceeds MemoryMb.
func playMemory(s *stage, trouble bool) (string, error) {
	s.configure([]route{{name: "report", kind: "streaming", service: "llm", timeout: 10 * time.Second, goal: 2 * time.Second, resumable: true}}, []string{"llm"}, maxBody, 0)
	for n := range 3 {
		w, err := s.startWorker(fmt.Sprintf("i-llm-%d", n), "llm")
		if err != nil {
			return "", err
		}
		w.work, w.events, w.pause = 1200*time.Millisecond, 17, 280*time.Millisecond
		w.announce(0)
	}
	i, err := s.startInstance(1)
	if err != nil {
		return "", err
	}
	if err := s.awaitReady(); err != nil {
		return "", err
	}
	rate := usualRate
	if trouble {
		rate *= burstFactor
	}
	stop := make(chan struct{})
	peak := make(chan int, 1)
	go func() { peak <- s.limitMemory(i, stop) }()
	lost, answered := s.sendPrompts(i, rate, 12*time.Second)
	close(stop)
	s.line("%d prompts a second, %d answered whole, peak memory %d KB", rate, answered, <-peak)
	if lost > 3 {
		return fmt.Sprintf("%d requests on kept connections were passed on to sound workers and their connections ended without an answer", lost), nil
	}
	return "", nil
}

// sendPrompts sends prompts at a rate for a time, each by a client whose connection has
// carried a request before. It returns how many were passed on and got no answer, and how
// many were answered.
func (s *stage) sendPrompts(i *instance, rate int, d time.Duration) (lost, answered int) {
	body := bytes.Repeat([]byte("prompt\n"), maxBody/7)
	var mu sync.Mutex
	var answers []answer
	var group sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		group.Go(func() {
			c := s.newClient(fmt.Sprintf("c%d", n))
			defer c.hangUp()
			r := request{route: "report", deadline: 10 * time.Second, headers: map[string]string{"X-Model": "m", "X-Token-Counts": "400,60", "X-Prefix-Hash": fmt.Sprintf("5c1e:200,%x:200", n+4096)}}
			r.body = []byte("a short prompt")
			c.send(i, r)
			if c.conn == nil {
				return // the instance has ended meanwhile: not a kept connection
			}
			r.body = body
			a := c.send(i, r)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(time.Second / time.Duration(rate))
	}
	group.Wait()
	arrivals := s.allArrivals()
	for _, a := range answers {
		switch {
		case a.whole:
			answered++
		case a.kept && a.status == 0 && hasRun(arrivals[a.id]):
			lost++
		}
	}
	return lost, answered
}

// limitMemory does what the platform's pages say of MemoryMb until stop is closed. It
// returns the peak in KB.
func (s *stage) limitMemory(i *instance, stop <-chan struct{}) int {
	peak := 0
	for {
		select {
		case <-stop:
			return peak
		case <-time.After(10 * time.Millisecond):
		}
		kb := i.memoryKb()
		peak = max(peak, kb)
		if kb > memoryMb<<10 {
			i.kill(fmt.Sprintf("its memory of %d KB exceeds MemoryMb, %d", kb, memoryMb))
		}
	}
}
