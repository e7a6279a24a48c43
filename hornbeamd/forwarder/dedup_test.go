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

// testSend is one send of a request through the instances.
type testSend struct {
	home    int
	repeat  bool
	records []RequestRecord
	poll    peerPoll
	mayRun  bool
	at      int
	running *dedupEntry
}

// queryNext queries one more instance, its own first.
func (s *testSend) queryNext(records []*dedupTable, k requestKey, now int64) {
	a, _ := records[(s.home+len(s.records))%len(records)].lookup(k, true, now, now)
	if s.records = append(s.records, a); len(s.records) < len(records) {
		return
	}
	v, _ := s.poll.decide(s.records)
	s.mayRun = v == verdictRun
	s.records = nil
	if v != verdictWait {
		s.poll = peerPoll{}
	}
}

// Guards against a second run for any order in which a first send, its retries,
// concurrent repeats, refusals and lost responses reach the instances.
func TestDedupRunsOnce(t *testing.T) {
	k := requestKey{"posting", "one"}
	rapid.Check(t, func(t *rapid.T) {
		now := int64(time.Hour)
		records := []*dedupTable{newDedupTable(0), newDedupTable(0), newDedupTable(0)}
		sends := []*testSend{{mayRun: true}, {home: 0, repeat: true}, {home: 1, repeat: true}, {home: 2, repeat: true}}
		runs := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			s := rapid.SampledFrom(sends).Draw(t, "send")
			switch {
			case s.running != nil:
				o := rapid.SampledFrom([]Outcome{OutcomeRan, OutcomeUnknown, OutcomeNotRun}).Draw(t, "outcome")
				records[s.at].finish(k, s.running, o, RequestRecord{}, now)
				s.running = nil
				s.mayRun = o == OutcomeNotRun && rapid.Bool().Draw(t, "retry")
				if o == OutcomeNotRun && !s.mayRun && s.repeat {
					records[s.home].releaseFence(k, now)
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
				s.queryNext(records, k, now)
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

// Guards against a table that grows without bound, that drops an id before its
// retention ends, or that reports FATE_NEVER for a time before the table existed.
func TestDedupBounds(t *testing.T) {
	is := is.New(t)
	now := int64(time.Hour)
	r := newDedupTable(now)
	body := make([]byte, maxBufferedBody)
	full := 0
	for i := range shardCount * maxShardEntries * 2 {
		k := requestKey{"posting", strconv.Itoa(i)}
		if r.shard(k.id) != r.shard("0") {
			continue
		}
		e, ok := r.start(k, false, now, now)
		if !ok {
			is.True(e == nil) // refused, because the table is full
			full++
			continue
		}
		answer := RequestRecord{HasResponse: true}
		if i < 4*shardCount*maxShardBodyBytes/maxBufferedBody {
			answer.Body = body // four times as much as is kept
		}
		r.finish(k, e, OutcomeRan, answer, now)
	}
	is.True(full > 0)
	kept := 0
	for i := range r.shards {
		is.True(len(r.shards[i].entries) <= maxShardEntries)
		kept += r.shards[i].bodyBytes
	}
	is.True(kept > 0 && kept <= maxShardBodyBytes)
	first := requestKey{"posting", "0"}
	_, ok := r.start(first, true, now+int64(idRetention)-1, now)
	is.True(!ok) // the id is still retained
	now += int64(idRetention + 2*minSweepInterval)
	_, ok = r.start(first, false, now, now)
	is.True(ok)
	for i := range maxShardEntries * shardCount / 2 {
		if k := (requestKey{"posting", "x" + strconv.Itoa(i)}); r.shard(k.id) == r.shard("0") {
			_, ok = r.addReceived(k, now, now)
			is.True(ok) // expired ids make room
		}
	}
	for _, tt := range []struct {
		sent int64
		want hornpb.Fate
	}{
		{0, hornpb.Fate_FATE_UNKNOWN},
		{r.startedAt, hornpb.Fate_FATE_UNKNOWN},
		{now - int64(idRetention), hornpb.Fate_FATE_UNKNOWN},
		{now, hornpb.Fate_FATE_NEVER},
	} {
		a, _ := r.lookup(requestKey{"posting", "never"}, false, tt.sent, now)
		is.Equal(a.Fate, tt.want)
	}
	young := newDedupTable(now - int64(time.Second))
	for sent, want := range map[int64]hornpb.Fate{
		now - int64(2*time.Second): hornpb.Fate_FATE_UNKNOWN,
		now:                        hornpb.Fate_FATE_NEVER,
	} {
		a, _ := young.lookup(first, false, sent, now)
		is.Equal(a.Fate, want)
	}
}

// Guards against running a first send that was received but not started when a
// repeat fenced its id, after the repeat was told that it had not run.
func TestReceivedIDIsFenced(t *testing.T) {
	is := is.New(t)
	k, now := requestKey{"posting", "one"}, int64(time.Hour)
	r := newDedupTable(0)
	seen, ok := r.addReceived(k, now, now)
	is.True(!seen && ok)
	a, _ := r.lookup(k, true, now, now)
	is.Equal(a.Fate, hornpb.Fate_FATE_NEVER)
	_, ok = r.start(k, false, now, now)
	is.True(!ok) // the first send is refused
	_, ok = r.start(k, true, now, now)
	is.True(ok) // the repeat that fenced it may run
}
