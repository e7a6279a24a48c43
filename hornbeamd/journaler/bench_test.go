package journaler

import (
	"io"
	"testing"
)

// BenchmarkLog logs the line of one request, once within the rate limit and once
// above it.
func BenchmarkLog(b *testing.B) {
	for name, limits := range map[string]RateLimits{"written": {1 << 30, 1 << 30}, "dropped": {1, 0}} {
		b.Run(name, func(b *testing.B) {
			_, log := New(io.Discard, limits)
			log = log.WithValues("instance", "i1")
			b.ReportAllocs()
			for b.Loop() {
				log.V(1).Info("request", "outcome", "answered", "upstream", "i-0475993a12", "domain", "chc-b", "expected", 251,
					"wait", 44, "load", 2.0, "report", 1720, "id", "a20299b0888749f6", "route", "r-x9izj89", "key", "1",
					"version", 13, "status", 200, "sends", 1, "runs", 1, "took", int64(43))
			}
		})
	}
}
