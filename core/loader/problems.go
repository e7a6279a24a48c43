package loader

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Problem is one validation error in a file, a ticket or a state.
type Problem struct {
	// File and Line are set when the problem was found in a file.
	File string `json:"file,omitempty"`
	Line int    `json:"line,omitempty"`
	// Key is the path to the value, such as "upstream/lookup-sofia-a-1.slots".
	Key string `json:"key,omitempty"`
	// Text is one short sentence.
	Text string `json:"text"`
}

// String returns "file:line: key: text", without the parts that are unknown.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", p.File, p.Line)
	}
	if p.Key != "" {
		b.WriteString(p.Key + ": ")
	}
	b.WriteString(p.Text)
	return b.String()
}

// Problems is a list of validation errors that implements error.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].String()
	}
	return strings.Join(lines, "\n")
}

// err returns nil for an empty list.
func (p Problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

func (p *Problems) add(key, format string, args ...any) {
	*p = append(*p, Problem{Key: key, Text: fmt.Sprintf(format, args...)})
}

// sort orders problems by file, line, key and text, so that the result doesn't
// depend on the order of maps.
func (p Problems) sort() {
	slices.SortFunc(p, func(a, b Problem) int {
		return cmp.Or(
			strings.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			strings.Compare(a.Key, b.Key),
			strings.Compare(a.Text, b.Text),
		)
	})
}

// reportFunc records a problem of one object; field is the path below it.
type reportFunc func(field, format string, args ...any)

// reporterFor returns a reportFunc for the object at key.
func (p *Problems) reporterFor(key string) reportFunc {
	return func(field, format string, args ...any) {
		switch {
		case key == "":
			p.add(field, format, args...)
		case field == "":
			p.add(key, format, args...)
		default:
			p.add(key+"."+field, format, args...)
		}
	}
}
