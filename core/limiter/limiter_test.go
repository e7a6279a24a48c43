package limiter

import (
	"flag"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Property tests run with the same values every time.
func init() { _ = flag.Set("rapid.seed", "1") }

const start = int64(1_800_000_000) * int64(time.Second)

// Guards against a gate that admits above its limit or after its deadline when
// the settings change between requests.
func TestSemaphoreFollowsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Semaphore
		limit, busy, now, deadline := 0, 0, start, int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				limit = rapid.IntRange(-1, 5).Draw(t, "limit")
				deadline = now + rapid.Int64Range(-2, 5).Draw(t, "term")
				g.Set(limit, deadline)
			},
			"wait": func(*rapid.T) { now++ },
			"acquire": func(t *rapid.T) {
				keep := rapid.IntRange(0, 2).Draw(t, "keep")
				want := now < deadline && busy+keep < limit
				if g.TryAcquireAbove(now, keep) != want {
					t.Fatalf("acquired %v with %d of %d", !want, busy, limit)
				}
				if want {
					busy++
				}
			},
			"release": func(t *rapid.T) {
				if busy == 0 {
					t.Skip("nothing in flight")
				}
				g.Release()
				busy--
			},
			"": func(t *rapid.T) {
				if g.InFlight() != busy {
					t.Fatalf("busy %d, want %d", g.InFlight(), busy)
				}
			},
		})
	})
}

// Guards against acquisitions that see a new limit with an old deadline or the
// reverse, and against lost counts.
func TestSemaphoreUnderRace(t *testing.T) {
	is := is.New(t)
	var g Semaphore
	var running, peak atomic.Int64
	g.Set(3, start+1)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 20_000 {
				if !g.TryAcquire(start) {
					continue
				}
				n := running.Add(1)
				for p := peak.Load(); n > p; p = peak.Load() {
					peak.CompareAndSwap(p, n)
				}
				running.Add(-1)
				g.Release()
			}
		})
	}
	group.Go(func() {
		for i := range 20_000 {
			// The limit 8 belongs to a deadline that has passed.
			if i%2 == 0 {
				g.Set(8, start)
				continue
			}
			g.Set(3, start+1)
		}
	})
	group.Wait()
	is.True(peak.Load() <= 3)
	is.Equal(g.InFlight(), 0)
	g.Set(3, start+1)
	for range 3 {
		is.True(g.TryAcquire(start))
	}
	is.True(!g.TryAcquire(start))
}

// Guards against more tokens than the rate in a window of a second, also when
// another holder takes over and gives the rate back.
func TestTokenBucketStaysBelowRateInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(0, 160).Draw(t, "rate")) / 4
		burst := rapid.Float64Range(0, 20).Draw(t, "burst")
		now, far := start, start+int64(time.Hour)
		var taken []int64
		var buckets [2]TokenBucket
		holder := &buckets[0]
		holder.Set(rate, burst, far)
		for range rapid.IntRange(1, 400).Draw(t, "requests") {
			gap := 5 * time.Millisecond
			switch rapid.IntRange(0, 40).Draw(t, "event") {
			case 0:
				gap = 2 * time.Second
			case 1:
				holder.Set(rate, burst, now)
				holder = &buckets[rapid.IntRange(0, 1).Draw(t, "holder")]
				holder.Set(rate, burst, far)
			}
			now += rapid.Int64Range(0, int64(gap)).Draw(t, "gap")
			for range 3 {
				if holder.Take(now) {
					taken = append(taken, now)
				}
			}
			for len(taken) > 0 && taken[0] <= now-int64(time.Second) {
				taken = taken[1:]
			}
			if n := float64(len(taken)); n > rate {
				t.Fatalf("%v tokens in a second at rate %v", n, rate)
			}
		}
	})
}

// Guards against a headroom so large that operators do not get their rate.
func TestTokenBucketGivesMostOfItsRate(t *testing.T) {
	for _, rate := range []float64{1, 2, 10, 25, 1000} {
		is := is.New(t)
		var b TokenBucket
		b.Set(rate, 1, start+int64(time.Hour))
		given := 0
		for now := start; now < start+int64(20*time.Second); now += int64(100 * time.Microsecond) {
			if b.Take(now) {
				given++
			}
		}
		is.True(float64(given) >= 0.89*20*rate)
		is.True(float64(given) <= 20*rate)
		is.True(!b.Take(start + int64(time.Hour)))
	}
}

func TestBandwidthLimiterClasses(t *testing.T) {
	is := is.New(t)
	var l BandwidthLimiter
	is.Equal(l.Charge(start, 1<<30, true), 0*time.Second)
	l.Set(1000, 100, start+int64(time.Second))
	is.Equal(l.Charge(start, 50, false), 0*time.Second)                      // within the debt
	is.Equal(l.Charge(start, 100, true), 150*time.Millisecond)               // pays for both
	is.Equal(l.Charge(start, 50, false), 0*time.Second)                      // bulk does not hold others up
	is.Equal(l.Charge(start, 30, false), 30*time.Millisecond)                // beyond the debt
	is.True(l.Ready(start, true))                                            // 230 ms behind
	is.Equal(l.Charge(start, 100, true), 330*time.Millisecond)               // and more debt
	is.True(!l.Ready(start, true))                                           // bulk has to go elsewhere
	is.True(l.Ready(start, false))                                           // others do not
	is.Equal(l.Charge(start+int64(2*time.Second), 10, true), time.Second/10) // static rate
}

// Guards against a bulk sender that keeps to its waits and still sends above
// the rate together with others.
func TestBandwidthLimiterStaysWithinRateAndDebt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate = 1_000_000
		var l BandwidthLimiter
		l.Set(rate, 0, start+int64(time.Hour))
		next := [2]int64{start, start}
		sent, now := 0, start
		for range 300 {
			now += rapid.Int64Range(0, int64(5*time.Millisecond)).Draw(t, "gap")
			class := rapid.IntRange(0, 1).Draw(t, "class")
			if now < next[class] {
				continue
			}
			n := rapid.IntRange(0, 8000).Draw(t, "bytes")
			next[class] = now + int64(l.Charge(now, n, class == 1))
			sent += n
			bound := rate*(float64(now-start)/1e9+2*linkDebt.Seconds()) + 2*8000
			if float64(sent) > bound {
				t.Fatalf("sent %d bytes, bound %f", sent, bound)
			}
		}
	})
}

func TestCreditExpiresAndRecovers(t *testing.T) {
	is := is.New(t)
	var c Credit
	is.Equal(c.Free(start), 1) // unknown: one try
	is.True(c.Take(start))
	is.True(!c.Take(start))
	c.Update(4, start)
	is.Equal(c.Free(start), 4)
	is.True(c.Take(start))
	is.Equal(c.Free(start), 3)
	is.Equal(c.Free(start+int64(creditTerm)/2), 2)
	c.Update(9, start-int64(time.Millisecond)) // older report
	is.Equal(c.Free(start), 3)
	later := start + int64(creditTerm)
	is.Equal(c.Free(later), 1)
	is.True(c.Take(later))
	is.True(!c.Take(later))
	c.RecordRefusal(later)
	pause := c.pauseNow()
	is.True(!c.Take(later + pause - 1))
	is.True(c.Take(later + pause))
	for range 60 {
		c.RecordRefusal(later)
	}
	is.Equal(c.pauseNow(), int64(creditLongest))
	for range 20 {
		c.Update(0, later)
	}
	is.Equal(c.pauseNow(), int64(creditShortest))
}

func TestCircuitBreakerAllowsOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	var p CircuitBreaker
	now := start
	is.True(p.Allow(now))
	p.RecordFailure(now)
	p.RecordFailure(now + 1) // another request on the same dead path
	pause := pathBackoff
	for range 7 {
		is.True(!p.WouldAllow(now + int64(pause) - 2048))
		now += int64(pause)
		is.True(p.WouldAllow(now))
		is.True(p.Allow(now))
		is.True(!p.Allow(now))
		p.RecordFailure(now)
		pause = min(2*pause, pathBackoffMax)
	}
	p.RecordSuccess(now - int64(time.Second)) // bytes from before
	is.True(!p.WouldAllow(now))
	p.RecordSuccess(now)
	is.True(p.Allow(now))
	is.True(p.Allow(now))
}

// Guards against a try that never ends and blocks the path for ever.
func TestCircuitBreakerRepeatsTrialWithoutResult(t *testing.T) {
	is := is.New(t)
	var p CircuitBreaker
	p.RecordFailure(start)
	now := start + int64(pathBackoff)
	is.True(p.Allow(now))
	is.True(p.Allow(now + int64(pathBackoff)))
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b RetryBudget
		successes, retries := 0, 0
		for range 300 {
			if rapid.Bool().Draw(t, "ok") {
				b.Deposit()
				successes++
			} else if b.TryWithdraw() {
				retries++
			}
			if retries > budgetBurst+successes/budgetCost {
				t.Fatalf("%d retries after %d successes", retries, successes)
			}
		}
	})
}

// Guards against a store of retries that grows with the successes before an
// outage.
func TestRetryBudgetBurstIsBounded(t *testing.T) {
	var b RetryBudget
	for range 1000 {
		b.Deposit()
	}
	n := 0
	for b.TryWithdraw() {
		n++
	}
	is.New(t).Equal(n, budgetBurst)
}

func TestNothingAllocates(t *testing.T) {
	is := is.New(t)
	var (
		g Semaphore
		b TokenBucket
		l BandwidthLimiter
		c Credit
		p CircuitBreaker
		r RetryBudget
	)
	far := start + int64(time.Hour)
	g.Set(1, far)
	b.Set(10, 1, far)
	l.Set(10, 1, far)
	is.Equal(testing.AllocsPerRun(100, func() {
		if g.TryAcquire(start) {
			g.Release()
		}
		b.Take(start)
		l.Charge(start, 1, true)
		c.Update(1, start)
		c.Take(start)
		p.RecordFailure(start)
		p.Allow(start)
		p.RecordSuccess(start)
		r.TryWithdraw()
		r.Deposit()
	}), 0.0)
}
