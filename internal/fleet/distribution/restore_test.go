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

// run advances the simulation by d.
func (f *fleet) run(d time.Duration) {
	for range int(d / tick) {
		f.step(f.steps)
		f.steps++
	}
}

// edit sets the preset through the first instance, and fails the test if the
// change is not accepted.
func (f *fleet) edit(is *is.I, id, preset string) int64 {
	is.Helper()
	revision, err := f.instances[0].editor.Change(context.Background(), Edit{ID: id}, setPreset(preset))
	is.NoErr(err)
	return revision
}

// TestRestoredStore replaces the store's state by an old backup. No instance may
// return to a lower revision, an edit must fail with a StoreRevertedError, a
// restarted instance must get the document from its peers before it takes work,
// and Restore must make edits possible again.
func TestRestoredStore(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		f := newFleet(seed, 9, 3)
		f.run(5 * time.Second)
		f.edit(is, "a", "Peak")
		backup, revision := f.current, f.revision
		inForce := f.edit(is, "b", "Maintenance")
		f.run(5 * time.Second)

		f.current, f.revision = backup, revision
		f.instances[8].start()
		for i := range 100 {
			// In the first second every message except watch events is lost.
			f.messageLoss = lo.Ternary(i < 10, 1.0, 0.0)
			f.run(tick)
			joining := f.instances[8].board
			if joining.Confirmation.Get().AllowsNewWork(f.clock.Now()) {
				is.Equal(joining.Configuration.Get().Revision, inForce)
			}
		}
		for _, in := range f.instances {
			is.Equal(in.board.Configuration.Get().Revision, inForce)
			is.True(in.board.Confirmation.Get().AllowsNewWork(f.clock.Now()))
		}
		_, err := f.instances[8].editor.Change(context.Background(), Edit{ID: "c"}, setPreset("Ordinary"))
		var reverted *StoreRevertedError
		is.True(errors.As(err, &reverted))
		is.Equal(reverted.AppliedRevision, inForce)

		restored, err := f.instances[4].editor.Restore(context.Background(), Edit{ID: "r", Operator: "op"})
		is.NoErr(err)
		is.True(restored > inForce)
		again, err := f.instances[5].editor.Restore(context.Background(), Edit{ID: "r"})
		is.NoErr(err)
		is.Equal(again, restored)
		f.run(MaxApplyDelay)
		next := f.edit(is, "d", "Ordinary")
		f.run(MaxApplyDelay)
		for _, in := range f.instances {
			is.Equal(in.board.Configuration.Get().Revision, next)
		}
	}
}

// TestForkedStore edits a store that was reverted to an old backup through an
// instance that can reach no other data centre and so does not know the newer
// document. The other instances must refuse the forked document and keep theirs
// until an operator restores it.
func TestForkedStore(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 9, 3)
	f.run(5 * time.Second)
	backup := f.current
	for i := range 3 {
		f.edit(is, fmt.Sprint("e", i), []string{"Peak", "Maintenance"}[i%2])
	}
	f.run(5 * time.Second)
	inForce := f.instances[0].controller.revision()

	// Writes to other keys have increased the store's revision since the backup.
	f.current, f.revision = backup, inForce+100
	isolated := f.instances[8]
	f.partitioned[isolated.dataCentre] = true
	for _, in := range f.instances {
		if in.dataCentre == isolated.dataCentre {
			in.start()
		}
	}
	f.run(6 * time.Second)
	_, err := isolated.editor.Change(context.Background(), Edit{ID: "x"}, setPreset("Maintenance"))
	is.NoErr(err)
	clear(f.partitioned)
	f.run(10 * time.Second)
	is.Equal(f.instances[0].controller.revision(), inForce)

	_, err = f.instances[0].editor.Restore(context.Background(), Edit{ID: "r"})
	is.NoErr(err)
	f.run(MaxApplyDelay)
	for _, in := range f.instances {
		is.Equal(in.board.Configuration.Get().Preset, "Peak")
	}
}

// TestConflictReportsFields makes two edits based on the same revision. The second
// must fail with a conflict that names the changed fields, and change nothing.
func TestConflictReportsFields(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3, 3)
	f.run(2 * time.Second)
	base := f.instances[0].controller.revision()
	f.edit(is, "a", "Peak")
	_, err := f.instances[1].editor.Change(context.Background(), Edit{ID: "b", Expected: base}, setPreset("Maintenance"))
	var conflict *configuration.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Expected, base)
	is.Equal(conflict.Fields, []string{"Preset"})
	is.Equal(f.instances[1].board.Configuration.Get().Preset, "Peak")
}
