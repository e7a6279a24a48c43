package loader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// document is a YAML file that is decoded strictly: unknown and duplicate keys
// are errors, and every problem is collected with its line.
type document struct {
	file     string
	root     *yaml.Node
	lines    map[string]int
	problems Problems
	// invalidKeys are the keys whose value could not be decoded. Validation
	// problems of these keys are left out, since they only follow from that.
	invalidKeys map[string]bool
}

func newDocument(file string, data []byte) *document {
	d := &document{file: file, lines: map[string]int{}, invalidKeys: map[string]bool{}}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root, more yaml.Node
	if err := decoder.Decode(&root); err != nil {
		d.reportSyntax(err)
		return d
	}
	d.root = root.Content[0]
	if err := decoder.Decode(&more); err == nil {
		d.report("", more.Line, "only one document is allowed")
	} else if !errors.Is(err, io.EOF) {
		d.reportSyntax(err)
	}
	return d
}

var errorLine = regexp.MustCompile(`line (\d+)(: )?`)

// reportSyntax records an error of the YAML parser, whose text contains the line.
func (d *document) reportSyntax(err error) {
	if errors.Is(err, io.EOF) {
		d.report("", 1, "the file is empty")
		return
	}
	text, line := strings.TrimPrefix(err.Error(), "yaml: "), 1
	if m := errorLine.FindStringSubmatch(text); m != nil {
		line, _ = strconv.Atoi(m[1])
		text = strings.Replace(text, m[0], "", 1)
	}
	d.report("", line, "%s", text)
}

func (d *document) report(key string, line int, format string, args ...any) {
	d.invalidKeys[key] = true
	text := fmt.Sprintf(format, args...)
	d.problems = append(d.problems, Problem{File: d.file, Line: line, Key: key, Text: text})
}

// addLocated adds problems and sets their file and line from their key.
func (d *document) addLocated(found Problems) {
	for _, p := range found {
		p.File, p.Line = d.file, d.line(p.Key)
		if !d.invalidKeys[p.Key] && !slices.Contains(d.problems, p) {
			d.problems = append(d.problems, p)
		}
	}
}

// line returns the line of a path or of its nearest known parent.
func (d *document) line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return 1
}

func (d *document) err() error {
	d.problems.sort()
	return d.problems.err()
}

// visitMapping calls visit for each key of a mapping. A duplicate key is
// reported and only its first value visited.
func (d *document) visitMapping(node *yaml.Node, path string, visit func(key, value *yaml.Node)) {
	if node.Kind != yaml.MappingNode {
		d.report(path, node.Line, "must be a mapping")
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if key.Kind != yaml.ScalarNode || key.Tag == "!!merge" {
			d.report(path, key.Line, "a key must be a plain word")
			continue
		}
		if first, ok := seen[key.Value]; ok {
			// Not d.report: the first value is still validated.
			text := fmt.Sprintf("occurs twice, first on line %d", first)
			d.problems = append(d.problems, Problem{d.file, key.Line, joinPath(path, key.Value), text})
			continue
		}
		seen[key.Value] = key.Line
		visit(key, value)
	}
}

// decode stores the value of node in into, which must be settable.
func (d *document) decode(node *yaml.Node, path string, into reflect.Value) {
	if _, ok := d.lines[path]; !ok {
		d.lines[path] = node.Line
	}
	if node.Kind == yaml.AliasNode {
		d.report(path, node.Line, "aliases are not allowed")
		return
	}
	if into.Type() == reflect.TypeFor[time.Time]() {
		d.decodeTime(node, path, into)
		return
	}
	switch into.Kind() {
	case reflect.Struct:
		d.decodeStruct(node, path, into)
	case reflect.Map:
		d.decodeMap(node, path, into)
	case reflect.Slice:
		d.decodeSlice(node, path, into)
	default:
		d.decodeScalar(node, path, into)
	}
}

func (d *document) decodeStruct(node *yaml.Node, path string, into reflect.Value) {
	fields := map[string]int{}
	for i := range into.NumField() {
		name, _, _ := strings.Cut(into.Type().Field(i).Tag.Get("yaml"), ",")
		fields[name] = i
	}
	d.visitMapping(node, path, func(key, value *yaml.Node) {
		i, ok := fields[key.Value]
		if !ok {
			d.report(joinPath(path, key.Value), key.Line, "is not a known key")
			return
		}
		d.lines[joinPath(path, key.Value)] = key.Line
		d.decode(value, joinPath(path, key.Value), into.Field(i))
	})
}

func (d *document) decodeMap(node *yaml.Node, path string, into reflect.Value) {
	into.Set(reflect.MakeMap(into.Type()))
	d.visitMapping(node, path, func(key, value *yaml.Node) {
		d.lines[joinPath(path, key.Value)] = key.Line
		element := reflect.New(into.Type().Elem()).Elem()
		d.decode(value, joinPath(path, key.Value), element)
		into.SetMapIndex(reflect.ValueOf(key.Value), element)
	})
}

func (d *document) decodeSlice(node *yaml.Node, path string, into reflect.Value) {
	if node.Kind != yaml.SequenceNode {
		d.report(path, node.Line, "must be a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(node.Content), len(node.Content)))
	for i, element := range node.Content {
		d.decode(element, indexPath(path, i), into.Index(i))
	}
}

func (d *document) decodeTime(node *yaml.Node, path string, into reflect.Value) {
	t, err := time.Parse(time.RFC3339, node.Value)
	if node.Kind != yaml.ScalarNode || err != nil || t.Year() < 1 {
		d.report(path, node.Line, "must be a time such as 2027-01-31T08:00:00Z")
		return
	}
	into.Set(reflect.ValueOf(t))
}

// scalarTypes maps a kind to the YAML tags that it accepts and to the name of
// the type in errors.
var scalarTypes = map[reflect.Kind]struct{ tags, name string }{
	reflect.String:  {"!!str !!int !!float !!bool !!timestamp", "a string"},
	reflect.Bool:    {"!!bool", "true or false"},
	reflect.Int:     {"!!int", "a whole number"},
	reflect.Int64:   {"!!int", "a whole number"},
	reflect.Uint64:  {"!!int", "a whole number that is not negative"},
	reflect.Float64: {"!!int !!float", "a number"},
}

func (d *document) decodeScalar(node *yaml.Node, path string, into reflect.Value) {
	want := scalarTypes[into.Kind()]
	ok := node.Kind == yaml.ScalarNode && strings.Contains(want.tags, node.ShortTag())
	if ok && into.Kind() == reflect.String {
		into.SetString(node.Value)
		return
	}
	if !ok || node.Decode(into.Addr().Interface()) != nil {
		d.report(path, node.Line, "must be %s", want.name)
		return
	}
	if f := into; f.Kind() == reflect.Float64 && (math.IsNaN(f.Float()) || math.IsInf(f.Float(), 0)) {
		f.SetFloat(0)
		d.report(path, node.Line, "must be a finite number")
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func indexPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
