package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"

	"go.yaml.in/yaml/v3"
)

// ParseTicket decodes a ticket from YAML with the keys base, author, reason and
// objects; name is the file name in errors. Number, nonce and time are not in
// the file. All problems are returned at once as Problems. A ticket with base 0
// is checked as the whole state, any other one object by object: see
// ParseTicketFor.
func ParseTicket(name string, data []byte) (Ticket, error) {
	t, d := parseTicket(name, data)
	if d.root != nil && t.Base == 0 {
		d.check(State{}, t)
	}
	return t, d.err()
}

// ParseTicketFor is like ParseTicket and also checks the result of applying the
// ticket to s, which must be at the ticket's base.
func ParseTicketFor(s State, name string, data []byte) (Ticket, error) {
	t, d := parseTicket(name, data)
	if d.root != nil {
		d.check(s, t)
	}
	return t, d.err()
}

func (d *document) check(s State, t Ticket) {
	if t.Base != s.Version {
		d.addLocated(Problems{{Key: "base", Text: fmt.Sprintf("is %d, but the state is at version %d", t.Base, s.Version)}})
		return
	}
	_, problems := s.applyObjects(t)
	d.addLocated(problems)
}

func parseTicket(name string, data []byte) (t Ticket, d *document) {
	d = newDocument(name, data)
	if d.root == nil {
		return t, d
	}
	t.Objects = map[string]json.RawMessage{}
	d.visitMapping(d.root, "", func(key, value *yaml.Node) {
		switch key.Value {
		case "base":
			d.decode(value, key.Value, reflect.ValueOf(&t.Base).Elem())
		case "author":
			d.decode(value, key.Value, reflect.ValueOf(&t.Author).Elem())
		case "reason":
			d.decode(value, key.Value, reflect.ValueOf(&t.Reason).Elem())
		case "objects":
			d.lines[key.Value] = key.Line
			d.visitMapping(value, "", func(key, value *yaml.Node) { d.decodeObject(&t, key, value) })
		default:
			d.report(key.Value, key.Line, "is not a known key")
		}
	})
	t.Number = t.Base + 1
	d.checkRequired(t)
	d.addLocated(t.checkHeader())
	return t, d
}

// checkRequired reports required keys that have no value.
func (d *document) checkRequired(t Ticket) {
	var p Problems
	if _, ok := d.lines["base"]; !ok {
		p.add("base", "is missing")
	}
	if t.Author == "" {
		p.add("author", "is missing")
	}
	if t.Reason == "" {
		p.add("reason", "is missing")
	}
	d.addLocated(p)
}

// decodeObject decodes and validates one object of a ticket.
func (d *document) decodeObject(t *Ticket, key, value *yaml.Node) {
	d.lines[key.Value] = key.Line
	kind, _, ok := SplitKey(key.Value)
	if !ok {
		d.report(key.Value, key.Line, "is not a valid object key")
		return
	}
	if value.ShortTag() == "!!null" {
		t.Objects[key.Value] = json.RawMessage("null")
		return
	}
	o := reflect.ValueOf(objectKinds[kind].newObject())
	d.decode(value, key.Value, o.Elem())
	var p Problems
	o.Elem().Interface().(object).check(p.reporterFor(key.Value))
	d.addLocated(p)
	raw, err := json.Marshal(o.Interface())
	if err != nil {
		d.report(key.Value, key.Line, "%v", err)
		return
	}
	t.Objects[key.Value] = raw
}

// IsTicket reports whether a YAML file is a ticket rather than settings: it has
// the key objects or base.
func IsTicket(data []byte) bool {
	var keys map[string]yaml.Node
	if err := yaml.Unmarshal(data, &keys); err != nil {
		return bytes.Contains(data, []byte("objects:"))
	}
	_, objects := keys["objects"]
	_, base := keys["base"]
	return objects || base
}
