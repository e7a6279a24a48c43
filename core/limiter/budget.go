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
// been at most 3 + s/10 retries, or what Set has chosen. Its zero value allows a
// small burst.
type RetryBudget struct {
	// debt counts the parts of successes that are still owed for retries, in
	// units of one thousandth.
	debt atomic.Int64
	// cost is what a retry adds to the debt, limit bounds the debt; 0 means the
	// default.
	cost, limit atomic.Int64
}

// budgetUnit is one success in units of the debt.
const budgetUnit = 1000

// Set allows a share of the successes, and burst retries beyond it.
func (b *RetryBudget) Set(share, burst float64) {
	cost := int64(budgetUnit / max(share, 1e-3))
	b.cost.Store(cost)
	b.limit.Store(int64(float64(cost) * burst))
}

func (b *RetryBudget) bounds() (cost, limit int64) {
	if cost = b.cost.Load(); cost != 0 {
		return cost, b.limit.Load()
	}
	return budgetCost * budgetUnit, budgetBurst * budgetCost * budgetUnit
}

// Success earns a share of a retry.
func (b *RetryBudget) Deposit() { b.pay(budgetUnit) }

// Return gives back a retry that was taken but not made.
func (b *RetryBudget) Refund() {
	cost, _ := b.bounds()
	b.pay(cost)
}

func (b *RetryBudget) pay(n int64) {
	for {
		d := b.debt.Load()
		if d == 0 || b.debt.CompareAndSwap(d, max(0, d-n)) {
			return
		}
	}
}

// Take uses one retry up and tells whether it was there.
func (b *RetryBudget) TryWithdraw() bool {
	cost, limit := b.bounds()
	for {
		d := b.debt.Load()
		if d+cost > limit {
			return false
		}
		if b.debt.CompareAndSwap(d, d+cost) {
			return true
		}
	}
}
