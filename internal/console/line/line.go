// Package line prints events for people and scripts: one line of key=value
// pairs for each event, or one JSON object a line.
package line

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"
)

// Pair is one key and its value.
type Pair struct {
	Key   string
	Value any
}

// Printer writes events to a stream.
type Printer struct {
	w    io.Writer
	json bool
}

// New returns a Printer that writes key=value lines, or JSON if asked.
func New(w io.Writer, asJSON bool) *Printer {
	return &Printer{w, asJSON}
}

// Event prints one event.
func (p *Printer) Event(name string, pairs ...Pair) {
	all := append([]Pair{{"Event", name}}, pairs...)
	if p.json {
		fmt.Fprintln(p.w, objectOf(all))
		return
	}
	parts := make([]string, len(all))
	for i, pair := range all {
		parts[i] = pair.Key + "=" + text(pair.Value)
	}
	fmt.Fprintln(p.w, strings.Join(parts, " "))
}

// Object prints v as indented JSON.
func (p *Printer) Object(v any) error {
	raw, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %T: %w", v, err)
	}
	fmt.Fprintln(p.w, string(raw))
	return nil
}

// objectOf keeps the order of the pairs.
func objectOf(pairs []Pair) string {
	parts := make([]string, len(pairs))
	for i, pair := range pairs {
		value, err := json.Marshal(pair.Value)
		if err != nil {
			value = []byte(strconv.Quote(err.Error()))
		}
		parts[i] = strconv.Quote(pair.Key) + ":" + string(value)
	}
	return "{" + strings.Join(parts, ",") + "}"
}

func text(v any) string {
	var s string
	switch v := v.(type) {
	case []string:
		s = strings.Join(v, ",")
	case time.Time:
		s = v.UTC().Format(time.RFC3339)
	case float64:
		s = strconv.FormatFloat(v, 'f', -1, 64)
	default:
		s = fmt.Sprint(v)
	}
	if s == "" || strings.ContainsAny(s, " \"=\n\t") {
		return strconv.Quote(s)
	}
	return s
}
