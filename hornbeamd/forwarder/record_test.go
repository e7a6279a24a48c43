package forwarder

import (
	"flag"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hornbeamstream.example/core/hornpb"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// send is one send of a request on its way through the instances.
type send struct {
	home     int
	repeat   bool
	accounts []RequestRecord
	poll     poll
	mayRun   bool
	at       int
	running  *entry
}

// ask asks one more instance, the own one first.
func (s *send) ask(records []*record, k entryKey, now int64) {
	a, _ := records[(s.home+len(s.accounts))%len(records)].account(k, true, now, now)
	if s.accounts = append(s.accounts, a); len(s.accounts) < len(records) {
		return
	}
	v, _ := s.poll.judge(s.accounts)
	s.mayRun = v == mayRun
	s.accounts = nil
	if v != wait {
		s.poll = poll{}
	}
}

// Guards against a second run whatever the order in which a first send, its
// retries, concurrent repeats, refusals and lost answers reach the instances.
func TestRecordOnce(t *testing.T) {
	k := entryKey{"posting", "one"}
	rapid.Check(t, func(t *rapid.T) {
		now := int64(time.Hour)
		records := []*record{newRecord(0), newRecord(0), newRecord(0)}
		sends := []*send{{mayRun: true}, {home: 0, repeat: true}, {home: 1, repeat: true}, {home: 2, repeat: true}}
		runs := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s := rapid.SampledFrom(sends).Draw(t, "send")
			switch {
			case s.running != nil:
				o := rapid.SampledFrom([]Outcome{OutcomeRan, OutcomeUnknown, OutcomeNotRun}).Draw(t, "outcome")
				records[s.at].end(k, s.running, o, RequestRecord{}, now)
				s.running = nil
				s.mayRun = o == OutcomeNotRun && rapid.Bool().Draw(t, "retry")
				if o == OutcomeNotRun && !s.mayRun && s.repeat {
					records[s.home].giveBack(k, now)
				}
				if o != OutcomeNotRun {
					runs++
				}
			case s.mayRun:
				s.mayRun = false
				s.at = rapid.IntRange(0, 2).Draw(t, "at")
				if e, ok := records[s.at].start(k, s.repeat, now, now); ok {
					s.running = e
				}
			case s.repeat:
				s.ask(records, k, now)
			}
		}
		for _, s := range sends {
			if s.running != nil {
				runs++
			}
		}
		if runs > 1 {
			t.Fatalf("ran %d times", runs)
		}
	})
}

// Guards against records that grow without bound, that drop an id within the
// window, or that vouch for a time before they began.
func TestRecordBounds(t *testing.T) {
	is := is.New(t)
	now := int64(time.Hour)
	r := newRecord(now)
	body := make([]byte, keepSize)
	full := 0
	for i := range shards * shardSize * 2 {
		k := entryKey{"posting", strconv.Itoa(i)}
		if r.shard(k.id) != r.shard("0") {
			continue
		}
		e, ok := r.start(k, false, now, now)
		if !ok {
			is.True(e == nil) // refused, because the record is full
			full++
			continue
		}
		answer := RequestRecord{HasResponse: true}
		if i < 4*shards*shardKept/keepSize {
			answer.Body = body // four times as much as is kept
		}
		r.end(k, e, OutcomeRan, answer, now)
	}
	is.True(full > 0)
	kept := 0
	for i := range r.shards {
		is.True(len(r.shards[i].entries) <= shardSize)
		kept += r.shards[i].kept
	}
	is.True(kept > 0 && kept <= shardKept)
	first := entryKey{"posting", "0"}
	_, ok := r.start(first, true, now+int64(window)-1, now)
	is.True(!ok) // still within the window
	now += int64(window + 2*sweepTime)
	_, ok = r.start(first, false, now, now)
	is.True(ok)
	for i := range shardSize * shards / 2 {
		if k := (entryKey{"posting", "x" + strconv.Itoa(i)}); r.shard(k.id) == r.shard("0") {
			_, ok = r.note(k, now, now)
			is.True(ok) // expired ids make room
		}
	}
	for _, tt := range []struct {
		sent int64
		want hornpb.Fate
	}{
		{0, hornpb.Fate_FATE_UNKNOWN},
		{r.since, hornpb.Fate_FATE_UNKNOWN},
		{now - int64(window), hornpb.Fate_FATE_UNKNOWN},
		{now, hornpb.Fate_FATE_NEVER},
	} {
		a, _ := r.account(entryKey{"posting", "never"}, false, tt.sent, now)
		is.Equal(a.Fate, tt.want)
	}
	young := newRecord(now - int64(time.Second))
	for sent, want := range map[int64]hornpb.Fate{
		now - int64(2*time.Second): hornpb.Fate_FATE_UNKNOWN,
		now:                        hornpb.Fate_FATE_NEVER,
	} {
		a, _ := young.account(first, false, sent, now)
		is.Equal(a.Fate, want)
	}
}

// TestNotedIDIsFenced fences an id that has been noted at its entry but not
// started yet: the first send must not run after a repeat was told that it has
// not.
func TestNotedIDIsFenced(t *testing.T) {
	is := is.New(t)
	k, now := entryKey{"posting", "one"}, int64(time.Hour)
	r := newRecord(0)
	seen, ok := r.note(k, now, now)
	is.True(!seen && ok)
	a, _ := r.account(k, true, now, now)
	is.Equal(a.Fate, hornpb.Fate_FATE_NEVER)
	_, ok = r.start(k, false, now, now)
	is.True(!ok) // the first send is refused
	_, ok = r.start(k, true, now, now)
	is.True(ok) // the repeat that fenced it may run
}
