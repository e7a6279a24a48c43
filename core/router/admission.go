package router

import "hornbeamstream.example/core/limiter"

const (
	// maxEntryRequests bounds the requests in flight at one entry instance.
	maxEntryRequests = 4096
	// levelReservePercent is the percentage of maxEntryRequests that each
	// priority level leaves free for the next higher level.
	levelReservePercent = 5
)

// AcquireEntry admits a caller's request to this instance, within a limit on the
// requests in flight of all services. It refuses requests of low priority first,
// so that a burst of them leaves room for others. The caller of AcquireEntry
// calls ReleaseEntry when an admitted request ends.
func (t *Table) AcquireEntry(q *Request, now int64) bool {
	level := min(max(q.Priority, q.Service.Priority, 0), 9)
	return t.entryGate().TryAcquireAbove(now, level*levelReservePercent*maxEntryRequests/100)
}

// ReleaseEntry ends a request that was admitted by AcquireEntry of this or of an
// earlier table.
func (t *Table) ReleaseEntry() { t.entryGate().Release() }

func (t *Table) entryGate() *limiter.Semaphore { return t.counters.entryGate }
