// Package limiter implements lock-free traffic limits: semaphores, token
// buckets, bandwidth limiters, credits, circuit breakers and retry budgets.
// All are safe for concurrent use, except that Set must not be called
// concurrently with itself. Only Set may allocate. Times are in Unix
// nanoseconds.
package limiter
