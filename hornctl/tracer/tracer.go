// Package tracer finds the way of one request, or of one configuration version
// into force, in the log lines of many instances.
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
	// Fields has the other fields of the line.
	Fields map[string]any
	// Raw is the line as it was read, without a prefix.
	Raw json.RawMessage
}

// maxLine bounds the length of a line in bytes.
const maxLine = 1 << 20

// Read reads the lines of a log. Text before the first brace of a line, such as
// the prefix of a collector, is dropped; what is no structured line is counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("log: %w", err)
		}
	}()
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		if l, ok := parse(s.Bytes()); ok {
			lines = append(lines, l)
		} else if len(bytes.TrimSpace(s.Bytes())) > 0 {
			skipped++
		}
	}
	return lines, skipped, s.Err()
}

func parse(text []byte) (l Line, ok bool) {
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

// Text returns a field as text; whole numbers for numbers, nothing if it is missing.
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

// String returns the line for people: time, instance, message and the fields in
// the order of their names, empty ones left out.
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

// Request returns the lines of a request, and before them the last lines of its
// instances that say what was believed then: the configuration in force, the
// state of the store, and the upstreams that the request was sent to.
func RequestLines(lines []Line, id string) (found []Line) {
	lines = sorted(lines)
	var end time.Time
	subjects, instances := map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.FieldString("id") == id {
			found = append(found, l)
			subjects[l.FieldString("upstream")] = true
			instances[l.Instance] = true
			end = l.Time
		}
	}
	delete(subjects, "")
	last := map[string]Line{}
	for _, l := range lines {
		if l.Time.After(end) || !instances[l.Instance] {
			continue
		}
		switch {
		case l.Message == "configured":
			last["configured "+l.Instance] = l
		case l.Message == "lost" || l.Message == "regained":
			last["store "+l.FieldString("subject")+l.Instance] = l
		case subjects[l.FieldString("subject")]:
			last["upstream "+l.FieldString("subject")+l.Instance] = l
		}
	}
	for _, l := range last {
		found = append(found, l)
	}
	return sorted(found)
}

// Version returns the lines that tell how a configuration version came into
// force or was rejected.
func VersionLines(lines []Line, version string) (found []Line) {
	for _, l := range lines {
		if (l.Message == "configured" || l.Message == "rejected") && l.FieldString("version") == version {
			found = append(found, l)
		}
	}
	return sorted(found)
}

// sorted orders lines by time, then by instance. Lines of one instance at the
// same time stay in order.
func sorted(lines []Line) []Line {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Instance, b.Instance))
	})
	return lines
}
