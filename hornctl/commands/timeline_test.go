package commands

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/recorder"
)

// Guards against a ticket's timeline that begins without its submission, and
// against a submission that is shown for events of other tickets.
func TestSubmissionEvent(t *testing.T) {
	sent := time.Unix(1_800_000_000, 0)
	events := []recorder.Event{
		{Stamp: 5, Kind: recorder.KindDrainStarted, Version: 2},
		{Stamp: 7, Kind: recorder.KindConfigured, Version: 1, Peer: "first", Since: sent},
		{Stamp: 9, Kind: recorder.KindConfigured, Version: 2, Peer: "operator", Since: sent, Cause: "disk replacement"},
		{Stamp: 10, Kind: recorder.KindConfigured, Version: 2, Peer: "operator", Since: sent},
	}
	tests := []struct {
		name   string
		ticket uint64
		want   recorder.Event
	}{
		{"no ticket asked for", 0, recorder.Event{}},
		{"unknown ticket", 3, recorder.Event{}},
		{"known ticket", 2, recorder.Event{
			Stamp: 8, Wall: sent, Instance: "operator", Kind: recorder.KindSubmitted, Version: 2, Cause: "disk replacement",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(submitted(events, tt.ticket), tt.want)
		})
	}
}
