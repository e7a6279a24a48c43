package loader_test

import (
	"encoding/json"
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/loader"
)

func addSeeds(f *testing.F, files ...string) {
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
}

// FuzzParseTicket checks that a ticket that parses can be applied and stored.
func FuzzParseTicket(f *testing.F) {
	addSeeds(f, "testdata/bad-ticket.yaml", "../../examples/kasa/shift.yaml", "../../examples/kasa/drain.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := loader.ParseTicket("t", data)
		if err != nil {
			is.New(t).True(errors.As(err, new(loader.Problems)))
			return
		}
		encoded, err := loader.EncodeTicket(ticket)
		is.New(t).NoErr(err)
		is.New(t).Equal(loader.DecodeTicket(ticket.Number, encoded).Number, ticket.Number)
		if ticket.Base == 0 {
			_, err = loader.State{}.Apply(ticket)
			is.New(t).NoErr(err)
		}
	})
}

// FuzzParseSettings checks that settings that parse are valid.
func FuzzParseSettings(f *testing.F) {
	addSeeds(f, "testdata/bad-settings.yaml", "../../examples/kasa/settings/sofia-a-1.yaml")
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := loader.ParseSettings("s", data)
		if err != nil {
			is.New(t).True(errors.As(err, new(loader.Problems)))
			return
		}
		is.New(t).Equal(len(s.Check()), 0)
	})
}

// FuzzApply checks that any stored value advances the version, leaves a state
// that is valid, and survives encoding as a snapshot.
func FuzzApply(f *testing.F) {
	f.Add("region/burgas", []byte(`{"title":"Burgas"}`))
	f.Add("upstream/x", []byte(`{"service":"lookup","domain":"sofia-a","address":"127.2.9.1:80","slots":1,"conns":1}`))
	f.Add("shift/lookup", []byte(`{"from":"sofia","to":"varna","share":0.5,"cap":1e300,"start":"2027-01-31T08:00:00Z","finish":"2028-01-31T08:00:00Z"}`))
	f.Add("blocks/1", []byte(`{"regions":{"sofia":["::/0"]}}`))
	f.Add("domain/sofia-a", []byte(`null`))
	s := kasaState(f)
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		is := is.New(t)
		change := loader.Ticket{Number: 2, Base: 1, Objects: map[string]json.RawMessage{key: value}}
		next, err := s.Apply(change)
		is.Equal(next.Version, uint64(2))
		is.True(err == nil || errors.As(err, new(*loader.RejectedError)))
		is.Equal(len(next.Check()), 0)
		data, err := loader.EncodeState(next)
		is.NoErr(err)
		_, err = loader.DecodeState(data)
		is.NoErr(err)
	})
}
