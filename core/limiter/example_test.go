package limiter_test

import (
	"fmt"
	"time"

	"hornbeamstream.example/core/limiter"
)

func ExampleSemaphore() {
	now := time.Unix(1_800_000_000, 0)
	var g limiter.Semaphore
	g.Set(1, now.Add(3*time.Second).UnixNano())
	fmt.Println(g.TryAcquire(now.UnixNano()), g.TryAcquire(now.UnixNano()))
	g.Release()
	fmt.Println(g.TryAcquire(now.Add(3 * time.Second).UnixNano()))
	// Output:
	// true false
	// false
}

func ExampleBandwidthLimiter_Charge() {
	now := time.Unix(1_800_000_000, 0).UnixNano()
	var l limiter.BandwidthLimiter
	l.Set(1_000_000, 0, now+int64(time.Minute))
	fmt.Println(l.Charge(now, 50_000, false), l.Charge(now, 50_000, true))
	// Output: 0s 100ms
}

func ExampleRetryBudget() {
	var b limiter.RetryBudget
	fmt.Println(b.TryWithdraw(), b.TryWithdraw(), b.TryWithdraw(), b.TryWithdraw())
	for range 10 {
		b.Deposit()
	}
	fmt.Println(b.TryWithdraw(), b.TryWithdraw())
	// Output:
	// true true true false
	// true false
}
