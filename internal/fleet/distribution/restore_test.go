package distribution

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/samber/lo"

	"github.com/kingcupyard/kingcupyard/internal/catalogue/configuration"
)

func setPreset(name string) func(*configuration.Document) error {
	return func(d *configuration.Document) error {
		d.Preset = name
		return nil
	}
}

// run steps the world for a while.
func (w *fleet) run(d time.Duration) {
	for range int(d / tick) {
		w.step(w.steps)
		w.steps++
	}
}

// edit makes a change through an instance that must succeed.
func (w *fleet) edit(is *is.I, id, preset string) int64 {
	is.Helper()
	revision, err := w.instances[0].editor.Change(context.Background(), Edit{ID: id}, setPreset(preset))
	is.NoErr(err)
	return revision
}

// TestRestoredStore brings the store back from an old backup. No instance goes
// back, an edit is refused with the reason, instances that restart take the
// configuration from their peers, and a restore ends the state.
func TestRestoredStore(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		w := newFleet(seed, 9, 3)
		w.run(5 * time.Second)
		w.edit(is, "a", "Peak")
		backup, revision := w.current, w.revision
		inForce := w.edit(is, "b", "Maintenance")
		w.run(5 * time.Second)

		w.current, w.revision = backup, revision
		w.instances[8].start()
		for i := range 100 {
			// At first the joining instance gets only the store's watch.
			w.messageLoss = lo.Ternary(i < 10, 1.0, 0.0)
			w.run(tick)
			joining := w.instances[8].board
			if joining.Confirmation.Get().AllowsNewWork(w.clock.Now()) {
				is.Equal(joining.Configuration.Get().Revision, inForce)
			}
		}
		for _, n := range w.instances {
			is.Equal(n.board.Configuration.Get().Revision, inForce)
			is.True(n.board.Confirmation.Get().AllowsNewWork(w.clock.Now()))
		}
		_, err := w.instances[8].editor.Change(context.Background(), Edit{ID: "c"}, setPreset("Ordinary"))
		var reverted *StoreRevertedError
		is.True(errors.As(err, &reverted))
		is.Equal(reverted.Applied, inForce)

		restored, err := w.instances[4].editor.Restore(context.Background(), Edit{ID: "r", Operator: "op"})
		is.NoErr(err)
		is.True(restored > inForce)
		again, err := w.instances[5].editor.Restore(context.Background(), Edit{ID: "r"})
		is.NoErr(err)
		is.Equal(again, restored)
		w.run(MaxApplyDelay)
		next := w.edit(is, "d", "Ordinary")
		w.run(MaxApplyDelay)
		for _, n := range w.instances {
			is.Equal(n.board.Configuration.Get().Revision, next)
		}
	}
}

// TestForkedStore lets an instance that heard of no peer edit a store that has
// gone back. The others keep what is in force until an operator restores it.
func TestForkedStore(t *testing.T) {
	is := is.New(t)
	w := newFleet(1, 9, 3)
	w.run(5 * time.Second)
	backup := w.current
	for i := range 3 {
		w.edit(is, fmt.Sprint("e", i), []string{"Peak", "Maintenance"}[i%2])
	}
	w.run(5 * time.Second)
	inForce := w.instances[0].controller.revision()

	// Other keys have moved the store's revision on since the backup.
	w.current, w.revision = backup, inForce+100
	lone := w.instances[8]
	w.partitioned[lone.dataCentre] = true
	for _, n := range w.instances {
		if n.dataCentre == lone.dataCentre {
			n.start()
		}
	}
	w.run(6 * time.Second)
	_, err := lone.editor.Change(context.Background(), Edit{ID: "x"}, setPreset("Maintenance"))
	is.NoErr(err)
	clear(w.partitioned)
	w.run(10 * time.Second)
	is.Equal(w.instances[0].controller.revision(), inForce)

	_, err = w.instances[0].editor.Restore(context.Background(), Edit{ID: "r"})
	is.NoErr(err)
	w.run(MaxApplyDelay)
	for _, n := range w.instances {
		is.Equal(n.board.Configuration.Get().Preset, "Peak")
	}
}

// TestConflictReportsFields lets two operators edit from the same revision.
func TestConflictReportsFields(t *testing.T) {
	is := is.New(t)
	w := newFleet(1, 3, 3)
	w.run(2 * time.Second)
	seen := w.instances[0].controller.revision()
	w.edit(is, "a", "Peak")
	_, err := w.instances[1].editor.Change(context.Background(), Edit{ID: "b", Expected: seen}, setPreset("Maintenance"))
	var conflict *configuration.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Expected, seen)
	is.Equal(conflict.Fields, []string{"Preset"})
	is.Equal(w.instances[1].board.Configuration.Get().Preset, "Peak")
}
