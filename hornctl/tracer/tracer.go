// Package tracer finds the log lines of one request, or of the rollout of one
// configuration version, in the logs of many instances.
package tracer

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Line is one structured log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	// Fields has all fields but time, instance, msg and level.
	Fields map[string]any
	// Raw is the JSON object as it was read, without the prefix of the line.
	Raw json.RawMessage
}

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read parses a log of JSON lines. Text before the first brace of a line, such
// as the prefix of a log collector, is dropped. Lines without a JSON object that
// has a time and a message are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("reading log: %w", err)
		}
	}()
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		if l, ok := parseLine(s.Bytes()); ok {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, s.Err()
}

func parseLine(text []byte) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return l, false
	}
	raw := bytes.Clone(bytes.TrimSpace(text[start:]))
	if json.Unmarshal(raw, &l.Fields) != nil {
		return l, false
	}
	l.Raw = raw
	l.Time, _ = time.Parse(time.RFC3339Nano, l.FieldString("time"))
	l.Instance, l.Message = l.FieldString("instance"), l.FieldString("msg")
	for _, k := range []string{"time", "instance", "msg", "level"} {
		delete(l.Fields, k)
	}
	return l, l.Message != "" && !l.Time.IsZero()
}

// FieldString returns a field as a string, or "" if it is missing. Numbers are
// truncated to integers.
func (l *Line) FieldString(key string) string {
	switch v := l.Fields[key].(type) {
	case nil:
		return ""
	case string:
		return v
	case float64:
		return fmt.Sprint(int64(v))
	default:
		return fmt.Sprint(v)
	}
}

// String formats the line as time, instance, message and the fields sorted by
// name. Fields that are empty or 0 are omitted.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-20s  %s", l.Time.UTC().Format("15:04:05.000"), l.Instance, l.Message)
	for _, k := range slices.Sorted(maps.Keys(l.Fields)) {
		if v := l.FieldString(k); v != "" && v != "0" {
			fmt.Fprintf(&b, "  %s=%s", k, v)
		}
	}
	return b.String()
}

// RequestLines returns the lines of a request and the lines that show the state
// of its instances at that time: the latest ones about the active configuration,
// the connection to the store and the upstreams that the request was sent to.
func RequestLines(lines []Line, id string) (found []Line) {
	lines = sortedByTime(lines)
	var end time.Time
	upstreams, instances := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.FieldString("id") == id {
			found = append(found, l)
			upstreams[l.FieldString("upstream")] = true
			instances[l.Instance] = true
			end = l.Time
		}
	}
	delete(upstreams, "")
	latest := map[string]Line{}
	for _, l := range lines {
		if l.Time.After(end) || !instances[l.Instance] {
			continue
		}
		switch {
		case l.Message == "configured":
			latest["configured "+l.Instance] = l
		case l.Message == "lost" || l.Message == "regained":
			latest["store "+l.FieldString("subject")+l.Instance] = l
		case upstreams[l.FieldString("subject")]:
			latest["upstream "+l.FieldString("subject")+l.Instance] = l
		}
	}
	for _, l := range latest {
		found = append(found, l)
	}
	return sortedByTime(found)
}

// VersionLines returns the lines that report that an instance applied or rejected
// a configuration version.
func VersionLines(lines []Line, version string) (found []Line) {
	for _, l := range lines {
		if (l.Message == "configured" || l.Message == "rejected") && l.FieldString("version") == version {
			found = append(found, l)
		}
	}
	return sortedByTime(found)
}

// sortedByTime returns lines sorted by time, then by instance. Lines of one
// instance with the same time keep their order.
func sortedByTime(lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return lines
}
