package loader

import (
	"reflect"

	"go.yaml.in/yaml/v3"
)

// Tuning has the settings of an instance that its platform does not provide.
// Missing keys have the values of DefaultTuning.
type Tuning struct {
	// MetricsPort is the port of the metrics endpoint; 0 disables it.
	MetricsPort int `yaml:"metrics"`
	// LogLinesPerSecond limits the rate of log lines about changes and failures,
	// DetailLinesPerSecond that of lines about successful requests.
	LogLinesPerSecond    int `yaml:"lines"`
	DetailLinesPerSecond int `yaml:"details"`
	// LookupTTLSeconds is how long callers may cache the answer to a lookup; the
	// platform may set a lower limit.
	LookupTTLSeconds float64 `yaml:"lookup"`
	// ReuseSeconds is the longest time since the last successful use of an
	// upstream connection at which it may be reused; UnsafeReuseSeconds is the
	// same for requests that must not run twice.
	ReuseSeconds       float64 `yaml:"reuse"`
	UnsafeReuseSeconds float64 `yaml:"proven"`
	// StallSeconds is the longest time between two bytes of a request's body, MinPace
	// the least number of its bytes per second, from 5 s after its start on.
	StallSeconds float64 `yaml:"stall"`
	MinPace      int     `yaml:"pace"`
	// RampShare is the share of its keys that an upstream takes first when it has started
	// or recovered, if its service has a slow start; 1 means all keys at once.
	RampShare float64 `yaml:"ramp"`
}

// DefaultTuning returns the settings that apply without a file.
func DefaultTuning() Tuning {
	return Tuning{MetricsPort: 9464, LogLinesPerSecond: 200, DetailLinesPerSecond: 60, LookupTTLSeconds: 2, ReuseSeconds: 10, UnsafeReuseSeconds: 4, StallSeconds: 10, MinPace: 1024, RampShare: 1}
}

// ParseTuning decodes the settings from YAML; name is the file name in errors.
// All problems are returned at once as Problems.
func ParseTuning(name string, data []byte) (t Tuning, err error) {
	t = DefaultTuning()
	d := newDocument(name, data)
	if d.root != nil {
		d.decode(d.root, "", reflect.ValueOf(&t).Elem())
		d.addLocated(t.Check())
	}
	return t, d.err()
}

// IsTuning reports whether a YAML file is Tuning rather than Settings: it has a
// key that only Tuning has.
func IsTuning(data []byte) bool {
	var keys map[string]yaml.Node
	if err := yaml.Unmarshal(data, &keys); err != nil {
		return false
	}
	tuning := reflect.TypeFor[Tuning]()
	for i := range tuning.NumField() {
		if _, ok := keys[tuning.Field(i).Tag.Get("yaml")]; ok {
			return true
		}
	}
	return false
}

// Check returns all problems of the settings.
func (t Tuning) Check() (p Problems) {
	report := p.reporterFor("")
	for _, f := range []struct {
		key              string
		value, low, high float64
		unit             string
	}{
		{"metrics", float64(t.MetricsPort), 0, 65535, ""},
		{"lines", float64(t.LogLinesPerSecond), 1, 10000, " lines a second"},
		{"details", float64(t.DetailLinesPerSecond), 0, 10000, " lines a second"},
		{"lookup", t.LookupTTLSeconds, 0.5, 60, " seconds"},
		{"reuse", t.ReuseSeconds, 0, 3600, " seconds"},
		{"proven", t.UnsafeReuseSeconds, 0, 3600, " seconds"},
		{"stall", t.StallSeconds, 0.1, 3600, " seconds"},
		{"pace", float64(t.MinPace), 1, 1 << 30, " bytes a second"},
		{"ramp", t.RampShare, 0.01, 1, ""},
	} {
		if f.value < f.low || f.value > f.high {
			report(f.key, "%g must be between %g and %g%s", f.value, f.low, f.high, f.unit)
		}
	}
	if t.UnsafeReuseSeconds > t.ReuseSeconds {
		report("proven", "%g must not exceed reuse, which is %g", t.UnsafeReuseSeconds, t.ReuseSeconds)
	}
	return p
}
