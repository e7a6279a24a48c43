package router

import "hornbeamstream.example/core/limiter"

const (
	// entryRequests bounds the requests in flight at one entry instance.
	entryRequests = 4096
	// entryShare is the share of them in percent that each level of priority
	// leaves to the level above it.
	entryShare = 5
)

// Enter counts a request of a caller at this instance, which all services
// share. It refuses requests of low priority first, so that a rush of them
// leaves room for others. An entered request ends with Exit.
func (t *Table) AcquireEntry(q *Request, now int64) bool {
	level := min(max(q.Priority, q.Service.Priority, 0), 9)
	return t.entry().TryAcquireAbove(now, level*entryShare*entryRequests/100)
}

// Exit ends a request that has entered, on this or on an earlier table.
func (t *Table) ReleaseEntry() { t.entry().Release() }

func (t *Table) entry() *limiter.Semaphore { return t.counters.entry }
