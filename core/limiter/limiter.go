// Package limiter holds the counters that bound traffic: slot gates, token
// buckets, link budgets, credits and retry budgets. All are safe for use by
// many goroutines, take no lock and allocate nothing when they are used; only
// Set may allocate. Set is called by one goroutine at a time. Times are in
// Unix nanoseconds.
package limiter
