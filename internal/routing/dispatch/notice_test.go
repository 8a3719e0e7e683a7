package dispatch

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/kingcupyard/kingcupyard/internal/fleet/backend"
	"github.com/kingcupyard/kingcupyard/internal/standin/script"
)

// noticeWorld is three instances before one server.
type noticeWorld struct {
	is        *is.I
	run       int64
	instances map[string]*Dispatcher
}

func (w *noticeWorld) listing() *backend.Listing {
	return listing(1, func(_ int, s *backend.Server) { s.StartedAt = w.run })
}

// place places up to n requests at one moment and returns how many were placed.
func (w *noticeWorld) place(instance string, n int, now time.Time) int {
	q := query()
	q.Members = []string{"a", "b", "c"}
	placed := 0
	for range n {
		if a, err := w.instances[instance].Place(w.listing(), q, now); err == nil {
			w.is.True(a.Send(w.listing(), q, now))
			a.Done(Succeeded, now)
			placed++
		}
	}
	return placed
}

// assignment returns an assignment of the server, whatever notices hold.
func (w *noticeWorld) assignment(instance string) *Assignment {
	d := w.instances[instance]
	d.mu.Lock()
	defer d.mu.Unlock()
	s := w.listing().ByID["s00"]
	return &Assignment{Server: s, dispatcher: d, state: d.state(s)}
}

func seconds(is *is.I, text string) time.Time {
	n, err := strconv.ParseFloat(text, 64)
	is.NoErr(err)
	return epoch.Add(time.Duration(n * float64(time.Second)))
}

// TestNotices runs the cases of testdata/notices.txt, whose first lines describe the steps.
func TestNotices(t *testing.T) {
	script.Run(t, "testdata/notices.txt", func(t *testing.T, lines []string) {
		w := &noticeWorld{is: is.New(t), run: 1, instances: map[string]*Dispatcher{}}
		for _, instance := range []string{"a", "b", "c"} {
			w.instances[instance] = New(testSettings(instance))
		}
		for _, line := range lines {
			t.Log(line)
			w.step(t, strings.Fields(line))
		}
	})
}

func (w *noticeWorld) step(t *testing.T, f []string) {
	is, now, instance := w.is, seconds(w.is, f[0]), f[1]
	switch f[2] {
	case "answer", "failure":
		notice := backend.Notice{}
		for _, field := range f[4:] {
			name, value, _ := strings.Cut(field, "=")
			if name == "leaving" {
				notice.Leaving = true
				continue
			}
			n, err := strconv.ParseFloat(value, 64)
			is.NoErr(err)
			switch name {
			case "limit":
				notice.Limited, notice.Limit = true, n
			case "retry":
				notice.RetryAfter = time.Duration(n * float64(time.Second))
			default:
				t.Fatalf("unknown field %q", field)
			}
		}
		w.assignment(instance).RecordNotice(notice, f[2] == "answer", seconds(is, f[3]), now)
	case "tell":
		w.instances[f[3]].MergeNotices(w.instances[instance].RecentNotices(now), now)
	case "places":
		is.Equal(strconv.Itoa(w.place(instance, 20, now)), f[3])
	case "lapses":
		w.instances[instance].PruneServers(&backend.Listing{})
	case "restarts":
		run, err := strconv.ParseInt(f[3], 10, 64)
		is.NoErr(err)
		w.run = run
	default:
		t.Fatalf("unknown step %q", f[2])
	}
}

// The requests of all instances that know a server's limit add up to no more than it, in
// any 4 s, also while instances join and leave.
func TestLimitSum(t *testing.T) {
	const duration, step = 80 * time.Second, 40 * time.Millisecond
	for _, n := range []int{1, 8, 73} {
		for _, limit := range []float64{0, 0.2, 1.1, 1.4, 25} {
			t.Run(fmt.Sprintf("%d instances, %v a second", n, limit), func(t *testing.T) {
				is := is.New(t)
				l := listing(1, nil)
				var members []string
				dispatchers := map[string]*Dispatcher{}
				join := func(name string) {
					members = append(members, name)
					d := New(testSettings(name))
					d.MergeNotices(map[string]NoticeReport{"s00": {Limited: true, Limit: limit}}, epoch)
					dispatchers[name] = d
				}
				for i := range n {
					join(fmt.Sprintf("edge-%d", i))
				}
				var sent []time.Time
				for elapsed := time.Duration(0); elapsed < duration; elapsed += step {
					now := epoch.Add(elapsed)
					switch elapsed {
					case 7 * time.Second:
						join("edge-new")
					case 13 * time.Second:
						members = members[1:]
					}
					q := query()
					q.Members = members
					for _, m := range members {
						if a, err := dispatchers[m].Place(l, q, now); err == nil {
							is.True(a.Send(l, q, now))
							sent = append(sent, now)
							a.Done(Succeeded, now)
						}
					}
				}
				bound := 1.5*4*limit + 5 // the platform's
				for i, at := range sent {
					count := 0
					for _, other := range sent[i:] {
						if other.Sub(at) < 4*time.Second {
							count++
						}
					}
					is.True(float64(count) <= bound)
				}
				is.True(float64(len(sent)) >= min(0.9*limit, 0.9*float64(n))*(duration-5*time.Second).Seconds()-1)
			})
		}
	}
}
