package settings

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const good = `[Instance]
Name = entry-1
DataCentre = gulberg
Region = lahore
[Listen]
Callers = 127.0.0.1:8080
Operators = 127.0.0.1:8081
Peers = 127.0.0.1:8082
[Platform]
Store = 127.0.0.1:2379
InstanceList = 127.0.0.1:2400
[Operators]
KeyHash = 0000000000000000000000000000000000000000000000000000000000000000
[Peers]
Key = secret
`

// TestParse goes through testdata/cases.txt: one change of the good settings a
// line, and what the error must name.
func TestParse(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(good))
	is.NoErr(err)
	is.Equal(s.Name, "entry-1")
	is.Equal(s.MaxBodyBytes, 1048576)
	data, err := os.ReadFile("testdata/cases.txt")
	is.NoErr(err)
	for line := range strings.Lines(string(data)) {
		f := strings.Split(strings.TrimSpace(line), "|")
		if len(f) != 5 {
			continue
		}
		t.Run(f[0], func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(good, f[1], strings.ReplaceAll(f[2], `\n`, "\n"), 1)
			is.True(text != good)
			_, err := Parse([]byte(text))
			var e *Error
			is.True(errors.As(err, &e))
			is.Equal(e.Section, f[3])
			is.Equal(e.Key, f[4])
			is.True(!strings.Contains(e.Error(), "\n"))
		})
	}
}

func TestExamplesAreGood(t *testing.T) {
	for _, name := range []string{"pottyround", "csatornakep"} {
		_, err := Load("../../../examples/" + name + "/instance.ini")
		is.New(t).NoErr(err)
	}
}
