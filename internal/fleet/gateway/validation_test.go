package gateway

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/kingcupyard/kingcupyard/internal/fleet/document"
)

// TestMessagesWithWrongFields runs the cases of testdata/messages.txt: what another instance
// sends, and the field that is named, none if it is sound.
func TestMessagesWithWrongFields(t *testing.T) {
	raw, err := os.ReadFile("testdata/messages.txt")
	is.New(t).NoErr(err)
	for line := range strings.Lines(string(raw)) {
		fields := strings.SplitN(strings.TrimSpace(line), " ", 3)
		if len(fields) < 3 || fields[0] == "#" {
			continue
		}
		var err error
		switch fields[0] {
		case "message":
			err = document.DecodeLoosely([]byte(fields[2]), &message{})
		case "feed":
			err = document.DecodeLoosely([]byte(fields[2]), &feedAnswer{})
		default:
			t.Fatal(line)
		}
		if fields[1] == "sound" {
			if err != nil {
				t.Errorf("%s: %v", line, err)
			}
		} else if err == nil || document.Field(err) != strings.Trim(fields[1], "-") {
			t.Errorf("%s names %q: %v", line, document.Field(err), err)
		}
	}
}

// A sender of invalid messages is logged once for each field, and no more than so many.
func TestInvalidMessagesAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zapcore.InfoLevel)
	g := newTestGateway(clockwork.NewFakeClock())
	g.Log = zap.New(core)
	wrong := document.Validate(&message{})
	for range 3 {
		g.peers.logInvalid("10.0.0.1:80", wrong)
	}
	is.Equal(logs.Len(), 1)
	is.Equal(logs.All()[0].ContextMap()["Field"], "From")
	for i := range 2 * maxLoggedSenders {
		g.peers.logInvalid(fmt.Sprint(i), wrong)
	}
	is.Equal(logs.Len(), maxLoggedSenders)
}
