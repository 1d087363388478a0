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

// Keys that every line has and that a story shows in its own columns.
var columnKeys = []string{"time", "level", "msg", "process", requestKey}

// FilterRequest reads lines of any number of processes and writes those of one request in the order of time.
func FilterRequest(lines io.Reader, request string, out io.Writer) error {
	found, err := linesOf(lines, request)
	if err != nil {
		return err
	}
	if len(found) == 0 {
		return trace.NotFound("no line of request %s", request)
	}
	for _, line := range found {
		if _, err := fmt.Fprintln(out, line.text); err != nil {
			return trace.Wrap(err, "write the story")
		}
	}
	return nil
}

type storyLine struct {
	at   time.Time
	text string
}

func linesOf(lines io.Reader, request string) ([]storyLine, error) {
	var found []storyLine
	scanner := bufio.NewScanner(lines)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		// Collectors put their own columns before a line.
		_, text, braced := strings.Cut(scanner.Text(), "{")
		if !braced || !strings.Contains(text, request) {
			continue
		}
		fields := map[string]any{}
		if err := json.Unmarshal([]byte("{"+text), &fields); err != nil || fields[requestKey] != request {
			continue
		}
		found = append(found, storyLineOf(fields))
	}
	if err := scanner.Err(); err != nil {
		return nil, trace.Wrap(err, "read log lines")
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].at.Before(found[j].at) })
	return found, nil
}

func storyLineOf(fields map[string]any) storyLine {
	var text strings.Builder
	written, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	if err == nil {
		written = at.Format("15:04:05.000")
	}
	fmt.Fprintf(&text, "%s %v %v", written, fields["process"], fields["msg"])
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
	return storyLine{at, text.String()}
}
