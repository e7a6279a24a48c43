package follower_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/follower"
	"hornbeamstream.example/core/loader"
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// ticket returns the ticket with the given number, which adds one region.
func ticket(number uint64) loader.Ticket {
	return loader.Ticket{
		Number:  number,
		Base:    number - 1,
		Author:  "test",
		Reason:  "adds a region",
		Nonce:   fmt.Sprintf("nonce-%d", number),
		Time:    epoch,
		Objects: map[string]json.RawMessage{fmt.Sprintf("region/r%d", number): json.RawMessage(`{}`)},
	}
}

func tickets(from, to uint64) []loader.Ticket {
	var list []loader.Ticket
	for n := from; n <= to; n++ {
		list = append(list, ticket(n))
	}
	return list
}

// stateAt returns the configuration after the given number of tickets.
func stateAt(version uint64) loader.State {
	var s loader.State
	for _, t := range tickets(1, version) {
		s, _ = s.Apply(t)
	}
	return s
}

// Guards against a configuration that goes back or gets a gap when answers are
// stale, repeated, reordered or lost.
func TestVersionNeverDecreases(t *testing.T) {
	newest := stateAt(40)
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		s := follower.New(epoch, 1)
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			before := s.Config.Version
			step(t, s, now)
			is.True(s.Config.Version >= before) // the version never goes back
			for n := uint64(1); n <= s.Config.Version; n++ {
				_, ok := s.Config.Regions[fmt.Sprintf("r%d", n)]
				is.True(ok) // no ticket is left out
			}
			list, complete := s.TicketsAfter(s.Config.Version - min(s.Config.Version, uint64(len(s.History))))
			is.True(complete)
			is.Equal(len(list), len(s.History)) // the history has no gap
		}
		s.Step(follower.Loaded{Now: now, Snapshot: newest, Revision: 40})
		is.Equal(s.Config.Version, uint64(40)) // it converges once the platform answers
	})
}

// step applies one random event, which may carry old news.
func step(t *rapid.T, s *follower.State, now time.Time) {
	from := rapid.Uint64Range(1, 40).Draw(t, "from")
	to := rapid.Uint64Range(from, 40).Draw(t, "to")
	failed := rapid.Bool().Draw(t, "failed")
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		s.Step(follower.Tick{Now: now, Relay: failed})
	case 1:
		s.Step(follower.PeerSeen{Now: now, Peer: "p", Version: to})
	case 2:
		snapshot := stateAt(from)
		s.Step(follower.Fetched{Now: now, Peer: "p", Snapshot: &snapshot, Tickets: tickets(from, to), Failed: failed})
	case 3:
		s.Step(follower.Loaded{Now: now, Snapshot: stateAt(from), Tickets: tickets(from, to), Revision: to, Failed: failed})
	case 4:
		s.Step(follower.Watched{Now: now, Tickets: tickets(from, to), Revision: to, Failed: failed})
	}
}

// callsPerMinute is the budget of one relay: 22 relays at 2 calls a second are
// 2% of the 2,000 reads a second that the platform takes.
const callsPerMinute = 120

// Guards against a burst of platform calls during and after an outage of ten
// minutes.
func TestOutageStaysWithinCallLimit(t *testing.T) {
	is := is.New(t)
	s := follower.New(epoch, 7)
	calls := map[int]int{}
	end := epoch.Add(10 * time.Minute)
	var pending follower.Event
	var due time.Time
	for now := epoch; now.Before(end.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		if pending != nil && !now.Before(due) {
			s.Step(pending)
			pending = nil
		}
		for _, e := range s.Step(follower.Tick{Now: now, Relay: true}) {
			calls[int(now.Sub(epoch)/time.Minute)]++
			pending, due = answer(e, now, now.Before(end))
		}
	}
	for minute, n := range calls {
		is.True(minute == 0 || n <= callsPerMinute) // within the budget
	}
	is.True(s.PlatformReachable) // the outage is over
}

// answer returns how a platform call ends, and when.
func answer(e follower.Effect, now time.Time, failed bool) (follower.Event, time.Time) {
	if _, ok := e.(follower.Load); ok || failed {
		return follower.Loaded{Now: now, Failed: failed}, now
	}
	end := now.Add(follower.WatchWait)
	return follower.Watched{Now: end}, end
}

// Guards against a gap that the history cannot fill being passed on as if it
// were complete.
func TestTicketsAfterIsBoundedByHistory(t *testing.T) {
	is := is.New(t)
	s := follower.New(epoch, 1)
	s.Step(follower.Loaded{Now: epoch, Tickets: tickets(1, 3*follower.HistoryTickets), Revision: 1})
	_, complete := s.TicketsAfter(1)
	is.True(!complete)
	list, complete := s.TicketsAfter(3*follower.HistoryTickets - 10)
	is.True(complete)
	is.Equal(len(list), 10)
	is.True(len(s.History) <= 2*follower.HistoryTickets) // memory stays bounded
}

func ExampleState_Step() {
	now := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	s := follower.New(now, 1)
	for _, e := range s.Step(follower.PeerSeen{Now: now, Peer: "127.1.1.2:7003", Version: 2}) {
		fmt.Printf("%+v\n", e)
	}
	s.Step(follower.Fetched{Now: now, Peer: "127.1.1.2:7003", Tickets: tickets(1, 2)})
	fmt.Println("version", s.Config.Version)
	// Output:
	// {Peer:127.1.1.2:7003 After:0}
	// version 2
}
