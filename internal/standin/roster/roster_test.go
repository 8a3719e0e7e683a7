package roster

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

func TestChangesShowAfterTheLag(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	r := New(Settings{Lag: time.Second}, WithClock(clock))
	r.Put(Instance{Name: "a"})
	is.Equal(len(r.current().Instances), 0)
	clock.Advance(time.Second)
	is.Equal(r.current().Instances[0].State, StateLive)
	r.Leave("a")
	is.Equal(r.current().Instances[0].State, StateLive)
	clock.Advance(time.Second)
	is.Equal(r.current().Instances[0].State, StateLeaving)
	is.Equal(r.current().Sequence, uint64(2))
	r.SetFaults(func(f *Faults) { f.Stale = true })
	r.Remove("a")
	clock.Advance(time.Second)
	is.Equal(len(r.current().Instances), 1)
}
