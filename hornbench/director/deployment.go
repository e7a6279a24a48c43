// Package director runs the demo: it starts the stand-ins and the instances,
// drives load and faults, and compares the ledgers of callers and upstreams.
package director

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
	"hornbeamstream.example/core/loader"
)

// Deployment is what the demo needs to know of a deployment.
type Deployment struct {
	Name string
	// Ticket holds the objects of the first ticket.
	Ticket map[string]json.RawMessage
	// Settings are ordered by name; Files are their paths.
	Settings []loader.Settings
	Files    []string

	Regions   []string
	Services  map[string]loader.Service
	Upstreams map[string]loader.Upstream
	Domains   map[string]loader.Domain
	// Blocks maps a region to the prefixes of its callers.
	Blocks map[string][]string
}

// Open reads examples/<name> under root if it is there, and else writes the
// generated deployment into the directory scratch.
func Open(root, name, scratch string) (d *Deployment, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("deployment %s: %w", name, err)
		}
	}()
	dir := filepath.Join(root, "examples", name)
	if _, err := os.Stat(filepath.Join(dir, "ticket.yaml")); err != nil {
		dir = scratch
		if err := write(dir, name); err != nil {
			return nil, err
		}
	}
	return read(dir, name)
}

func read(dir, name string) (*Deployment, error) {
	d := &Deployment{Name: name}
	if err := d.readTicket(filepath.Join(dir, "ticket.yaml")); err != nil {
		return nil, err
	}
	files, err := filepath.Glob(filepath.Join(dir, "settings", "*.yaml"))
	if err != nil {
		return nil, err
	}
	for _, file := range files {
		var s loader.Settings
		if err := readYAML(file, &s); err != nil {
			return nil, err
		}
		abs, err := filepath.Abs(file)
		if err != nil {
			return nil, err
		}
		d.Settings = append(d.Settings, s)
		d.Files = append(d.Files, abs)
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("no settings in %s", dir)
	}
	return d, nil
}

func (d *Deployment) readTicket(file string) error {
	var t struct {
		Objects map[string]any `yaml:"objects"`
	}
	if err := readYAML(file, &t); err != nil {
		return err
	}
	d.Ticket = map[string]json.RawMessage{}
	for key, v := range t.Objects {
		b, err := json.Marshal(v)
		if err != nil {
			return err
		}
		d.Ticket[key] = b
	}
	return d.index()
}

// index fills the fields that are taken from the ticket.
func (d *Deployment) index() error {
	d.Services = map[string]loader.Service{}
	d.Upstreams = map[string]loader.Upstream{}
	d.Domains = map[string]loader.Domain{}
	d.Blocks = map[string][]string{}
	for key, v := range d.Ticket {
		kind, name, _ := strings.Cut(key, "/")
		var err error
		switch kind {
		case loader.KindRegion:
			d.Regions = append(d.Regions, name)
		case loader.KindService:
			err = decode(v, name, d.Services)
		case loader.KindUpstream:
			err = decode(v, name, d.Upstreams)
		case loader.KindDomain:
			err = decode(v, name, d.Domains)
		case loader.KindBlocks:
			var b loader.Blocks
			err = json.Unmarshal(v, &b)
			for region, list := range b.Regions {
				d.Blocks[region] = append(d.Blocks[region], list...)
			}
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	slices.Sort(d.Regions)
	return nil
}

func decode[T any](b []byte, name string, into map[string]T) error {
	var v T
	if err := json.Unmarshal(b, &v); err != nil {
		return err
	}
	into[name] = v
	return nil
}

func readYAML(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	dec := yaml.NewDecoder(bytes.NewReader(b))
	dec.KnownFields(false)
	if err := dec.Decode(v); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}

// Slots returns the slots of a service in all regions.
func (d *Deployment) Slots(service string) (n int) {
	for _, u := range d.Upstreams {
		if u.Service == service {
			n += u.Slots
		}
	}
	return n
}

// Entries returns the front addresses of all instances.
func (d *Deployment) Entries() (list []string) {
	for _, s := range d.Settings {
		list = append(list, s.Front)
	}
	return list
}
