package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A SIGHUP that comes before an instance has read its settings doesn't end it. One ends
// other commands.
func TestHangupAtTheStart(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		ends bool
	}{
		"an instance": {[]string{"gateway"}, false},
		"a command":   {[]string{"serve"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The process waits for the settings until something writes them.
			settings := filepath.Join(t.TempDir(), "settings")
			is.NoErr(syscall.Mkfifo(settings, 0o600))
			cmd := exec.Command("kingcupyard", append(c.args, "-Settings", settings)...)
			is.NoErr(cmd.Start())
			writer := openWriter(t, settings)
			is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
			time.Sleep(100 * time.Millisecond)
			_, err := writer.WriteString("no settings")
			is.Equal(err != nil, c.ends) // a process that has ended reads nothing
			writer.Close()
			err = cmd.Wait()
			var exit *exec.ExitError
			is.True(errors.As(err, &exit))
			is.Equal(exit.ExitCode() < 0, c.ends) // a signal ended it
		})
	}
}

// openWriter opens a named pipe as soon as a process reads it.
func openWriter(t *testing.T, path string) *os.File {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if f, err := os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0); err == nil {
			return f
		}
	}
	t.Fatal("nothing reads the settings")
	return nil
}
