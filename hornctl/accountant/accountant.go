// Package accountant says where requests lost their worth, from the log lines of
// the instances that answered them.
package accountant

import (
	"cmp"
	"slices"
	"time"

	"hornbeamstream.example/hornctl/tracer"
)

// Class is where a request lost its worth. Each request that lost any has one.
type Class string

// Classes of losses, in the order in which they are looked for.
const (
	// Refused requests have not run.
	Refused Class = "refused"
	// Left requests were given up by their callers.
	Abandoned Class = "left by its caller"
	// Failed requests may have run.
	Failed Class = "failed after it was sent"
	// Resent requests were late because their first upstream did not answer them.
	Retried Class = "late, sent again"
	// Waited requests were late because of the wait for a slot.
	Queued Class = "late, waited for a slot"
	// Unknown requests were late and the first ones for their key that the instance
	// sent to the upstream, which may not have known it.
	UnknownKey Class = "late, key not known here"
	// Slow requests were late although nothing of that was expected.
	Slow Class = "late, slower than expected"
)

// Loss is a request that lost worth.
type Loss struct {
	Class Class
	// Cause is the outcome in the log, such as overload.
	Cause    string
	Route    string
	Instance string
	Upstream string
	// Domain is the upstream's failure domain.
	Domain string
	At     time.Time
	// Lost is the worth that was lost, 1 for the whole of a request.
	Lost float64
}

// Account is where the worth of many requests went.
type Report struct {
	// Requests counts the answered requests on known routes, InTime those that
	// lost nothing.
	Requests, InTime int
	Losses           []Loss
}

// lateLoss is the worth that a late answer loses.
const lateLoss = 0.8

// Make reads the lines of requests. Lines without a route or an aim, such as those
// of requests that no configuration allows, do not count.
func Analyze(lines []tracer.Line) (a Report) {
	for _, l := range lines {
		aim := number(l, "aim")
		if l.Message != "request" || aim == 0 {
			continue
		}
		a.Requests++
		class, lost := judge(l, aim)
		if lost == 0 {
			a.InTime++
			continue
		}
		a.Losses = append(a.Losses, Loss{
			Class: class, Cause: l.FieldString("outcome"), Route: l.FieldString("route"), Instance: l.Instance,
			Upstream: l.FieldString("upstream"), Domain: l.FieldString("domain"), At: l.Time, Lost: lost,
		})
	}
	return a
}

// judge returns the class of a request and the worth that it lost, 0 for none.
func judge(l tracer.Line, aim float64) (c Class, lost float64) {
	status, took, wait := number(l, "status"), number(l, "took"), number(l, "wait")
	switch {
	case status == 503:
		return Refused, 1
	case l.FieldString("outcome") == "abandoned":
		return Abandoned, 1
	case status >= 500:
		return Failed, 1
	case took <= aim:
		return "", 0
	case number(l, "sends") > 1:
		return Retried, lateLoss
	case number(l, "expected") > aim && number(l, "expected")-wait <= aim:
		// Without the wait it would have been in time.
		return Queued, lateLoss
	case l.Fields["known"] != true:
		return UnknownKey, lateLoss
	case wait > 0:
		return Queued, lateLoss
	}
	return Slow, lateLoss
}

func number(l tracer.Line, key string) float64 {
	n, ok := l.Fields[key].(float64)
	if !ok {
		return 0
	}
	return n
}

// Lost is the worth that all requests have lost.
func (a *Report) TotalLost() (sum float64) {
	for i := range a.Losses {
		sum += a.Losses[i].Lost
	}
	return sum
}

// Row is a part of the losses.
type Group struct {
	Name  string
	Count int
	Lost  float64
}

// By adds the losses up by a name, the largest sum first.
func (a *Report) GroupBy(name func(*Loss) string) []Group {
	sums := map[string]*Group{}
	for i := range a.Losses {
		n := name(&a.Losses[i])
		if sums[n] == nil {
			sums[n] = &Group{Name: n}
		}
		sums[n].Count++
		sums[n].Lost += a.Losses[i].Lost
	}
	var rows []Group
	for _, r := range sums {
		rows = append(rows, *r)
	}
	slices.SortFunc(rows, func(x, y Group) int {
		return cmp.Or(cmp.Compare(y.Lost, x.Lost), cmp.Compare(x.Name, y.Name))
	})
	return rows
}
