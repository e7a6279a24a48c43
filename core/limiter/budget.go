package limiter

import "sync/atomic"

const (
	// budgetCost is the number of successes that earn one retry.
	budgetCost = 10
	// budgetBurst is the number of retries that may precede their successes. In
	// a full outage it is all there is, so that it must stay far below a tenth
	// of the requests that an instance gets meanwhile.
	budgetBurst = 3
)

// Budget bounds retries to a share of successes: after s successes there have
// been at most 3 + s/10 retries. Its zero value allows a small burst.
type Budget struct {
	// debt counts successes that are still owed for retries.
	debt atomic.Int64
}

// Success earns a share of a retry.
func (b *Budget) Success() {
	for {
		d := b.debt.Load()
		if d == 0 || b.debt.CompareAndSwap(d, d-1) {
			return
		}
	}
}

// Take uses one retry up and tells whether it was there.
func (b *Budget) Take() bool {
	for {
		d := b.debt.Load()
		if d+budgetCost > budgetBurst*budgetCost {
			return false
		}
		if b.debt.CompareAndSwap(d, d+budgetCost) {
			return true
		}
	}
}
