package loader_test

import (
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/loader"
)

var update = flag.Bool("update", false, "rewrite golden files")

func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	is.New(t).Equal(got, string(read(t, path)))
}

// TestValidationErrors guards against validation errors that are missed, reported
// one at a time, or reported at the wrong line.
func TestValidationErrors(t *testing.T) {
	is := is.New(t)
	_, err := loader.ParseTicket("ticket.yaml", read(t, "testdata", "bad-ticket.yaml"))
	is.True(errors.As(err, new(loader.Problems)))
	compareGolden(t, "bad-ticket.golden", err.Error()+"\n")
	_, err = loader.ParseSettings("settings.yaml", read(t, "testdata", "bad-settings.yaml"))
	is.True(errors.As(err, new(loader.Problems)))
	compareGolden(t, "bad-settings.golden", err.Error()+"\n")
	_, err = loader.ParseTuning("tuning.yaml", read(t, "testdata", "bad-tuning.yaml"))
	is.True(errors.As(err, new(loader.Problems)))
	compareGolden(t, "bad-tuning.golden", err.Error()+"\n")
}

// TestParseTuningDefaults checks that missing keys keep their defaults.
func TestParseTuningDefaults(t *testing.T) {
	is := is.New(t)
	got, err := loader.ParseTuning("t", []byte("metrics: 0\nreuse: 5\n"))
	is.NoErr(err)
	want := loader.DefaultTuning()
	want.MetricsPort, want.ReuseSeconds = 0, 5
	is.Equal(got, want)
	is.Equal(len(loader.DefaultTuning().Check()), 0)
	is.True(loader.IsTuning([]byte("lines: 5\n")))
	is.True(!loader.IsTuning([]byte("name: a\n")))
	is.True(!loader.IsTuning([]byte("\t")))
}

func TestParseTicketSyntaxErrors(t *testing.T) {
	tests := []struct{ name, data, want string }{
		{"empty", "", "t:1: the file is empty"},
		{"comment", "# nothing\n", "t:1: the file is empty"},
		{"list", "- 1\n", "t:1: must be a mapping"},
		{"two documents", "base: 1\n---\nbase: 2\n", "t:2: only one document is allowed"},
		{"tab", "base: 1\n\tauthor: x\n", "t:2: found a tab character that violates indentation"},
		{"merge", "<<: {base: 1}\n", "t:1: a key must be a plain word"},
		{"alias", "author: &a x\nreason: *a\n", "t:2: reason: aliases are not allowed"},
		{"negative base", "base: -1\n", "t:1: base: must be a whole number that is not negative"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := loader.ParseTicket("t", []byte(tt.data))
			is.New(t).True(strings.Contains(fmt.Sprint(err)+"\n", tt.want+"\n"))
			_, err = loader.ParseSettings("t", []byte(tt.data))
			is.New(t).True(err != nil)
		})
	}
}

func kasaState(t testing.TB) loader.State {
	t.Helper()
	data, err := os.ReadFile("../../examples/kasa/ticket.yaml")
	if err != nil {
		t.Fatal(err)
	}
	ticket, err := loader.ParseTicket("ticket.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	s, err := loader.State{}.Apply(ticket)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func newTicket(base uint64, objects map[string]string) loader.Ticket {
	t := loader.Ticket{Number: base + 1, Base: base, Objects: map[string]json.RawMessage{}}
	for key, value := range objects {
		t.Objects[key] = json.RawMessage(value)
	}
	return t
}

// TestApplyRejects guards against an invalid ticket that changes the state, and
// against dangling references after a removal.
func TestApplyRejects(t *testing.T) {
	tests := []struct {
		name    string
		objects map[string]string
		want    string
	}{
		{"nothing", nil, "objects: is empty"},
		{"domain in use", map[string]string{"domain/sofia-a": "null"}, "upstream/lookup-sofia-a-1.domain: domain/sofia-a does not exist"},
		{"region in use", map[string]string{"region/sofia": "null"}, "blocks/1.regions.sofia: region/sofia does not exist"},
		{"removal of nothing", map[string]string{"region/burgas": "null"}, "region/burgas: can't be removed because it does not exist"},
		{"unknown key", map[string]string{"region/burgas": `{"colour":1}`}, `unknown field "colour"`},
		{"two values", map[string]string{"region/burgas": `{} {}`}, "more than one value"},
		{"address in use", map[string]string{"upstream/x": `{"service":"lookup","domain":"sofia-a","address":"127.2.1.1:8000","slots":1,"conns":1}`}, "is already used by"},
		{"prefix in use", map[string]string{"blocks/2": `{"regions":{"sofia":["127.20.3.0/24"]}}`}, "is already listed at blocks/1.regions.varna[0]"},
		{"same region", map[string]string{"shift/lookup": `{"from":"sofia","to":"sofia","share":1,"cap":1,"start":"2027-01-31T08:00:00Z","finish":"2027-01-31T08:00:00Z"}`}, "must differ from the source"},
		{"too large", map[string]string{"region/x": `{"title":"` + strings.Repeat("x", loader.MaxTicketBytes) + `"}`}, "more than 1000000"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := kasaState(t)
			next, err := s.Apply(newTicket(1, tt.objects))
			rejected := (*loader.RejectedError)(nil)
			is.True(errors.As(err, &rejected))
			is.True(strings.Contains(err.Error(), tt.want))
			is.Equal(next.Version, uint64(2))
			next.Version = 1
			is.Equal(next, s)
		})
	}
}

func TestApplyVersionGap(t *testing.T) {
	is := is.New(t)
	s := kasaState(t)
	for _, base := range []uint64{0, 2} {
		next, err := s.Apply(newTicket(base, map[string]string{"region/burgas": "{}"}))
		is.True(errors.As(err, new(*loader.GapError)))
		is.Equal(next, s)
	}
	bad := newTicket(1, map[string]string{"region/burgas": "{}"})
	bad.Base = 0
	_, err := s.Apply(bad)
	is.True(errors.As(err, new(*loader.RejectedError)))
}

func TestStateQueries(t *testing.T) {
	is := is.New(t)
	s := kasaState(t)
	now := time.Date(2027, 1, 31, 8, 0, 0, 0, time.UTC)
	next, err := s.Apply(newTicket(1, map[string]string{
		"drain/upstream/lookup-sofia-a-1": `{"until":"2027-01-31T09:00:00Z"}`,
		"drain/region/varna":              `{"reason":"test"}`,
	}))
	is.NoErr(err)
	is.Equal(next.ChangedSince(1), []string{"drain/region/varna", "drain/upstream/lookup-sofia-a-1"})
	is.True(next.Drained("lookup-sofia-a-1", now))
	is.True(!next.Drained("lookup-sofia-a-1", now.Add(time.Hour)))
	is.True(next.Drained("posting-varna-b-1", now.Add(time.Hour)))
	is.True(next.DomainDrained("varna-a", now))
	is.True(!next.Drained("posting-sofia-b-1", now))
	is.Equal(s.DomainsInRegion("sofia"), []string{"sofia-a", "sofia-b"})
	is.Equal(len(s.UpstreamsInDomain("sofia-a")), 6)
	is.Equal(s.Policy().Headroom, 0.8)
	o, ok := s.Object("domain/sofia-a")
	is.True(ok)
	is.Equal(o, loader.Domain{Region: "sofia", Instances: 2})
	data, err := loader.EncodeState(next)
	is.NoErr(err)
	decoded, err := loader.DecodeState(data)
	is.NoErr(err)
	is.Equal(decoded, next)
}

// TestApplyProperties guards against a ticket that modifies maps shared with the
// previous state, a result that depends on map order, and a state that keeps an
// invalid value.
func TestApplyProperties(t *testing.T) {
	first := kasaState(t)
	values := map[string][]string{
		"region/burgas":      {`{}`, `null`, `{"title":"x"}`},
		"domain/burgas-a":    {`{"region":"burgas","instances":1}`, `null`, `{"region":"burgas"}`},
		"drain/region/varna": {`{}`, `null`},
		"link/burgas/sofia":  {`{"capacity":1,"delay":1}`, `null`, `{"capacity":0}`},
	}
	keys := slices.Sorted(maps.Keys(values))
	rapid.Check(t, func(rt *rapid.T) {
		s := first
		for range rapid.IntRange(1, 8).Draw(rt, "tickets") {
			objects := map[string]string{}
			for _, key := range rapid.SliceOfDistinct(rapid.SampledFrom(keys), rapid.ID[string]).Draw(rt, "keys") {
				objects[key] = rapid.SampledFrom(values[key]).Draw(rt, "value")
			}
			before, _ := loader.EncodeState(s)
			next, err := s.Apply(newTicket(s.Version, objects))
			again, err2 := s.Apply(newTicket(s.Version, objects))
			after, _ := loader.EncodeState(s)
			is := is.New(rt)
			is.Equal(string(before), string(after))
			is.Equal(next, again)
			is.Equal(fmt.Sprint(err), fmt.Sprint(err2))
			is.Equal(len(next.Check()), 0)
			is.Equal(next.Version, s.Version+1)
			s = next
		}
	})
}

func TestTicketKeys(t *testing.T) {
	is := is.New(t)
	is.Equal(loader.TicketKey(17), "ticket/00000017")
	for key, want := range map[string]uint64{"ticket/00000017": 17, "ticket/17": 0, "ticket/0000001x": 0, "snapshot": 0} {
		number, ok := loader.TicketNumber(key)
		is.Equal(ok, want > 0)
		if ok {
			is.Equal(number, want)
		}
	}
}
