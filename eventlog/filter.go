package eventlog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

const (
	requestKey   = "request"
	maxLineBytes = 1 << 20
)

// columnKeys are the keys that formatLine doesn't write as key=value: the values of time, process and msg become the
// first columns, level and request are left out.
var columnKeys = []string{"time", "level", "msg", "process", requestKey}

// FilterRequest reads log lines of any number of processes and writes those about one request in order of time, each as
// a line of text with the time of day, the process, the event and the remaining keys. It returns a trace.NotFound error
// if no line is about the request.
func FilterRequest(lines io.Reader, request string, out io.Writer) error {
	found, err := parseLines(lines, request)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return trace.NotFound("no log line about request %s", request)
	}
	for _, line := range found {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return trace.Wrap(err, "write log lines")
		}
	}
	return nil
}

// requestLine is a formatted line about the request; at is its timestamp, zero if the line has no valid one.
type requestLine struct {
	at   time.Time
	text string
}

// parseLines returns the lines about a request in order of time. Lines about other requests or none, and text that isn't
// JSON, are skipped.
func parseLines(lines io.Reader, request string) ([]requestLine, error) {
	var found []requestLine
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		// A log collector may prepend columns of its own, so the JSON object begins at the first brace.
		_, text, hasObject := strings.Cut(scanner.Text(), "{")
		if !hasObject || !strings.Contains(text, request) {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal([]byte("{"+text), &fields); err != nil || fields[requestKey] != request {
			continue
		}
		found = append(found, formatLine(fields))
	}
	if err := scanner.Err(); err != nil {
		return nil, trace.Wrap(err, "read log lines")
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].at.Before(found[j].at) })
	return found, nil
}

// formatLine formats the fields of a line; keys with an empty value are left out.
func formatLine(fields map[string]any) requestLine {
	var text strings.Builder
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err == nil {
		timestamp = at.Format("15:04:05.000")
	}
	fmt.Fprintf(&text, "%s %v %v", timestamp, fields["process"], fields["msg"])
	var keys []string
	for key := range fields {
		if !slices.Contains(columnKeys, key) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		if value := fields[key]; value != "" {
			fmt.Fprintf(&text, " %s=%v", key, value)
		}
	}
	return requestLine{at, text.String()}
}
