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

// columnKeys are the keys of every line that the output shows as columns or leaves out.
var columnKeys = []string{"time", "level", "msg", "process", requestKey}

// FilterRequest reads log lines of any number of processes and writes those of one request in order of time, in a form
// for reading. It returns trace.NotFound if there are none.
func FilterRequest(lines io.Reader, request string, out io.Writer) error {
	found, err := parseLines(lines, request)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return trace.NotFound("no line of request %s", request)
	}
	for _, line := range found {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return trace.Wrap(err, "write log lines")
		}
	}
	return nil
}

type requestLine struct {
	at   time.Time
	text string
}

// parseLines returns the lines of a request in order of time; text that isn't a log line is skipped.
func parseLines(lines io.Reader, request string) ([]requestLine, error) {
	var found []requestLine
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		// Log collectors prepend columns of their own to a line.
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
