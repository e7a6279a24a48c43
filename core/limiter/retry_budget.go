package limiter

import "sync/atomic"

const (
	// successesPerRetry is the number of successes that allow one retry.
	successesPerRetry = 10
	// retryBurst is the number of retries that are allowed without successes. In
	// a full outage no others are allowed, and it must stay far below a tenth of
	// the requests that an instance receives in that time.
	retryBurst = 3
)

// RetryBudget limits retries to a share of the successes. Its zero value allows
// at most 3 + s/10 retries after s successes; Set changes both figures.
type RetryBudget struct {
	// debt is the number of successes that earlier retries still need, in
	// thousandths.
	debt atomic.Int64
	// cost is what a retry adds to the debt, maxDebt the upper bound of the debt.
	// A cost of 0 selects the defaults.
	cost, maxDebt atomic.Int64
}

// debtPerSuccess is one success in the unit of debt.
const debtPerSuccess = 1000

// Set allows retries for a share of the successes, and burst retries beyond it.
func (b *RetryBudget) Set(share, burst float64) {
	cost := int64(debtPerSuccess / max(share, 1e-3))
	b.cost.Store(cost)
	b.maxDebt.Store(int64(float64(cost) * burst))
}

func (b *RetryBudget) settings() (cost, maxDebt int64) {
	if cost = b.cost.Load(); cost != 0 {
		return cost, b.maxDebt.Load()
	}
	return successesPerRetry * debtPerSuccess, retryBurst * successesPerRetry * debtPerSuccess
}

// Deposit records a success, which pays for a share of a retry.
func (b *RetryBudget) Deposit() { b.repay(debtPerSuccess) }

// Refund returns a retry that was withdrawn but not made.
func (b *RetryBudget) Refund() {
	cost, _ := b.settings()
	b.repay(cost)
}

func (b *RetryBudget) repay(n int64) {
	for {
		d := b.debt.Load()
		if d == 0 || b.debt.CompareAndSwap(d, max(0, d-n)) {
			return
		}
	}
}

// TryWithdraw takes one retry and reports whether one was available.
func (b *RetryBudget) TryWithdraw() bool {
	cost, maxDebt := b.settings()
	for {
		d := b.debt.Load()
		if d+cost > maxDebt {
			return false
		}
		if b.debt.CompareAndSwap(d, d+cost) {
			return true
		}
	}
}
