// Package accountant computes from request logs how much value late, refused and
// failed requests lost, and classifies each loss by its reason.
package accountant

import (
	"cmp"
	"slices"
	"time"

	"hornbeamstream.example/hornctl/tracer"
)

// Class is the reason for a loss. Each request with a loss has exactly one.
type Class string

// Loss classes, in the order in which [Analyze] checks them. Requests with any wait
// are also Queued if they are not UnknownKey.
const (
	// Refused requests were answered with 503 and have not run.
	Refused Class = "refused"
	// Abandoned requests were canceled by their callers.
	Abandoned Class = "left by its caller"
	// Failed requests were answered with another 5xx status and may have run.
	Failed Class = "failed after it was sent"
	// Retried requests were late because their first upstream did not respond.
	Retried Class = "late, sent again"
	// Queued requests were late because they waited for a free slot.
	Queued Class = "late, waited for a slot"
	// UnknownKey requests were late and were the first for their key that the
	// instance sent to the upstream, which may not have known the key.
	UnknownKey Class = "late, key not known here"
	// Slow requests were late for none of the other reasons.
	Slow Class = "late, slower than expected"
)

// Loss describes a request that lost some or all of its value.
type Loss struct {
	Class Class
	// Cause is the outcome field of the log line, such as overload.
	Cause    string
	Route    string
	Instance string
	Upstream string
	// Domain is the upstream's failure domain.
	Domain string
	At     time.Time
	// Lost is the lost value; 1 is the full value of a request.
	Lost float64
}

// Report lists the losses of a set of requests.
type Report struct {
	// Requests counts the answered requests on known routes, InTime those of
	// them without a loss.
	Requests, InTime int
	Losses           []Loss
}

// lateResponseLoss is the value that a late response loses.
const lateResponseLoss = 0.8

// Analyze returns the losses of the requests in lines. Requests without a route
// or a latency target (the aim field), such as those that no configuration
// allows, don't count.
func Analyze(lines []tracer.Line) (r Report) {
	for _, l := range lines {
		latencyTarget := numberField(l, "aim")
		if l.Message != "request" || latencyTarget == 0 {
			continue
		}
		r.Requests++
		class, lost := classify(l, latencyTarget)
		if lost == 0 {
			r.InTime++
			continue
		}
		r.Losses = append(r.Losses, Loss{
			Class: class, Cause: l.FieldString("outcome"), Route: l.FieldString("route"), Instance: l.Instance,
			Upstream: l.FieldString("upstream"), Domain: l.FieldString("domain"), At: l.Time, Lost: lost,
		})
	}
	return r
}

// classify returns the loss class of a request and the value that it lost, 0 if
// it has no loss.
func classify(l tracer.Line, latencyTarget float64) (c Class, lost float64) {
	status, took, wait := numberField(l, "status"), numberField(l, "took"), numberField(l, "wait")
	switch {
	case status == 503:
		return Refused, 1
	case l.FieldString("outcome") == "abandoned":
		return Abandoned, 1
	case status >= 500:
		return Failed, 1
	case took <= latencyTarget:
		return "", 0
	case numberField(l, "sends") > 1:
		return Retried, lateResponseLoss
	case numberField(l, "expected") > latencyTarget && numberField(l, "expected")-wait <= latencyTarget:
		// It was expected to be in time without the wait.
		return Queued, lateResponseLoss
	case l.Fields["known"] != true:
		return UnknownKey, lateResponseLoss
	case wait > 0:
		return Queued, lateResponseLoss
	}
	return Slow, lateResponseLoss
}

// numberField returns a numeric field, or 0 if it is missing or not a number.
func numberField(l tracer.Line, key string) float64 {
	n, ok := l.Fields[key].(float64)
	if !ok {
		return 0
	}
	return n
}

// TotalLost returns the sum of all losses.
func (r *Report) TotalLost() (sum float64) {
	for i := range r.Losses {
		sum += r.Losses[i].Lost
	}
	return sum
}

// Group is the sum of the losses that share a key.
type Group struct {
	Name  string
	Count int
	Lost  float64
}

// GroupBy sums the losses by key. The result is sorted by descending sum, then
// by name.
func (r *Report) GroupBy(key func(*Loss) string) []Group {
	sums := map[string]*Group{}
	for i := range r.Losses {
		n := key(&r.Losses[i])
		if sums[n] == nil {
			sums[n] = &Group{Name: n}
		}
		sums[n].Count++
		sums[n].Lost += r.Losses[i].Lost
	}
	var groups []Group
	for _, g := range sums {
		groups = append(groups, *g)
	}
	slices.SortFunc(groups, func(x, y Group) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), cmp.Compare(x.Name, y.Name))
	})
	return groups
}
