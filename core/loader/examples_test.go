package loader_test

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/loader"
)

// TestExamples guards against examples that fail validation.
func TestExamples(t *testing.T) {
	tests := []struct {
		name                       string
		instances, upstreams, keys int
	}{
		{"kasa", 10, 36, 1 + 3 + 6 + 6 + 3 + 36 + 1},
		{"kotuku", 11, 40, 1 + 3 + 6 + 6 + 3 + 40 + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			dir := filepath.Join("..", "..", "examples", tt.name)
			state := loader.State{}
			first, err := loader.ParseTicket("ticket.yaml", read(t, dir, "ticket.yaml"))
			is.NoErr(err)
			state, err = state.Apply(first)
			is.NoErr(err)
			is.Equal(len(state.Upstreams), tt.upstreams)
			is.Equal(len(state.Keys()), tt.keys)
			is.Equal(len(state.Check()), 0)
			for _, name := range []string{"shift.yaml", "drain.yaml"} {
				_, err := loader.ParseTicketFor(state, name, read(t, dir, name))
				is.NoErr(err)
			}
			checkSettings(t, state, dir, tt.instances)
		})
	}
}

// checkSettings parses the settings and compares them with the state and with
// each other.
func checkSettings(t *testing.T, state loader.State, dir string, count int) {
	is := is.New(t)
	files, err := filepath.Glob(filepath.Join(dir, "settings", "*.yaml"))
	is.NoErr(err)
	is.Equal(len(files), count)
	peers, planned := map[string]loader.Settings{}, map[string]int{}
	for _, file := range files {
		s, err := loader.ParseSettings(file, read(t, file))
		is.NoErr(err)
		is.Equal(s.Name+".yaml", filepath.Base(file))
		is.Equal(s.Region, state.RegionOf(s.Domain))
		planned[s.Domain]++
		peers[s.Peer] = s
	}
	is.Equal(len(peers), count)
	for domain, d := range state.Domains {
		is.Equal(planned[domain], d.Instances)
	}
	for _, s := range peers {
		others := 0
		for _, seed := range s.Seeds {
			is.True(peers[seed].Name != "") // the seed is an instance
			if peers[seed].Domain != s.Domain {
				others++
			}
		}
		is.True(others >= 3)
	}
}

func read(t *testing.T, path ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(path...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func ExampleParseTicket() {
	_, err := loader.ParseTicket("drain.yaml", []byte(`
base: 17
author: operations
objects:
  upstream/lookup-1:
    service: lookup
    domain: sofia-a
    address: 127.2.1.1
    slots: 0
    conns: many
`))
	fmt.Println(err)
	// Output:
	// drain.yaml:1: reason: is missing
	// drain.yaml:8: upstream/lookup-1.address: "127.2.1.1" is not an ip:port
	// drain.yaml:9: upstream/lookup-1.slots: must be above 0
	// drain.yaml:10: upstream/lookup-1.conns: must be a whole number
}

func ExampleParseTuning() {
	t, err := loader.ParseTuning("hornplatform.yaml", []byte("lines: 50\nlookup: 0.1\n"))
	fmt.Println(t.LogLinesPerSecond, t.DetailLinesPerSecond)
	fmt.Println(err)
	// Output:
	// 50 60
	// hornplatform.yaml:2: lookup: 0.1 must be between 0.5 and 60 seconds
}
