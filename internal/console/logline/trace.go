package logline

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
)

// Line is one line of a log.
type Line struct {
	Time     string
	Event    string
	Instance string
	// Server is the backend server that the line is about, if any.
	Server string
	// RequestID is the request that the line is about, if any.
	RequestID string
	Text      string
}

// field finds one KEY=VALUE of a line, the value in quotes or not.
var field = regexp.MustCompile(`(\w+)=("(?:[^"\\]|\\.)*"|\S*)`)

// parse reads a line. Whatever stands before its time is dropped, as log
// collectors add such things. It reports false for lines of other programs.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "Time=")
	if start < 0 {
		return Line{}, false
	}
	l := Line{Text: text[start:]}
	for _, m := range field.FindAllStringSubmatch(l.Text, -1) {
		value := strings.Trim(m[2], `"`)
		switch m[1] {
		case "Time":
			l.Time = value
		case "Event":
			l.Event = value
		case "Instance":
			l.Instance = value
		case "Server":
			l.Server = value
		case "RequestId":
			l.RequestID = value
		}
	}
	return l, l.Event != ""
}

// beliefs are the events that change what an instance believes, and how many
// of the last ones before a request are shown.
var beliefs = map[string]int{
	"Started": 1, "Stopping": 1, "TableInForce": 2, "StoreLost": 1, "StoreRegained": 1, "StoreHistoryLost": 1, "WatchRenewed": 1, "FeedLeft": 2,
	"FleetChanged": 3, "StageRecorded": 1, "VersionDistrusted": 1,
}

// serverBeliefs are those that concern one backend server; they are shown for
// the servers that the request went to.
var serverBeliefs = map[string]bool{"ServerAnnounced": true, "ServerGone": true}

// Trace prints the way of one request through logs of any instances, in order
// of time, after what the instances that it met believed before. It returns
// the number of lines about the request.
func Trace(w io.Writer, id string, logs ...io.Reader) (int, error) {
	lines, err := readAll(logs)
	if err != nil {
		return 0, err
	}
	var way []Line
	first := map[string]string{}
	servers := map[string]bool{}
	for _, l := range lines {
		if l.RequestID != id {
			continue
		}
		way = append(way, l)
		if first[l.Instance] == "" {
			first[l.Instance] = l.Time
		}
		if l.Server != "" {
			servers[l.Server] = true
		}
	}
	for _, l := range append(believed(lines, first, servers), way...) {
		if _, err := fmt.Fprintln(w, l.Text); err != nil {
			return 0, fmt.Errorf("print the trace: %w", err)
		}
	}
	return len(way), nil
}

// believed picks the last changes of belief before each instance's first line
// about the request.
func believed(lines []Line, first map[string]string, servers map[string]bool) []Line {
	counts := map[string]int{}
	var picked []Line
	for _, l := range slices.Backward(lines) {
		at, met := first[l.Instance]
		if !met || l.Time > at {
			continue
		}
		key, most := l.Instance+" "+l.Event, beliefs[l.Event]
		if serverBeliefs[l.Event] && servers[l.Server] {
			key, most = key+" "+l.Server, 1
		}
		if counts[key] < most {
			counts[key]++
			picked = append(picked, l)
		}
	}
	slices.Reverse(picked)
	return picked
}

// longestLine bounds a line in bytes.
const longestLine = 1 << 20

func readAll(logs []io.Reader) ([]Line, error) {
	var lines []Line
	for _, log := range logs {
		s := bufio.NewScanner(log)
		s.Buffer(nil, longestLine)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
				lines = append(lines, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, fmt.Errorf("read log: %w", err)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time, b.Time) })
	return lines, nil
}
