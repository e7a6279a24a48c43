package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCrashesContained shows the check requests that crash upstreams, and refusals of
// other requests.
func TestCrashesContained(t *testing.T) {
	const uri = "/safe/crash-0?a=%2F"
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name    string
		crashes []float64
		// arrivals are the times at which the request reaches an upstream.
		arrivals []float64
		// paused has a time in which the instance was paused.
		paused []span
		want   int
	}{
		{name: "contained", crashes: []float64{1, 2, 3}, arrivals: []float64{1, 2, 3, 4, 5, 5.9}},
		{name: "four times late", crashes: []float64{3, 1, 2}, arrivals: []float64{7, 8, 9, 10}, want: 1},
		{name: "three times late", crashes: []float64{1, 2, 3}, arrivals: []float64{7, 8, 9}},
		{name: "two crashes", crashes: []float64{1, 2}, arrivals: []float64{7, 8, 9, 10}},
		{name: "paused before", crashes: []float64{1, 2, 3}, arrivals: []float64{7, 8, 9, 10}, paused: []span{{at(5), at(6)}}},
		{name: "paused long before", crashes: []float64{1, 2, 3}, arrivals: []float64{17, 18, 19, 20}, paused: []span{{at(5), at(6)}}, want: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			i := &Instance{IP: "i", proxy: &Proxy{}, disturbed: tt.paused}
			u := &Upstream{ID: "u", proxy: &Proxy{}}
			w := &World{began: began, all: []*Upstream{u}, instances: []*Instance{i}, crashes: map[string][]time.Time{}}
			for _, c := range tt.crashes {
				w.crashes[uri] = append(w.crashes[uri], at(c))
			}
			sent := map[string]*Sent{}
			for n, a := range tt.arrivals {
				id := fmt.Sprint("q", n)
				sent[id] = &Sent{ID: id, URI: uri, Instance: i.Front(), Start: at(a - 0.01)}
				u.arrivals = append(u.arrivals, arrival{id, at(a)})
			}
			is.Equal(len(w.crashesContained(sent)), tt.want)
		})
	}
	is := is.New(t)
	w := &World{}
	refused := Sent{ID: "q", URI: "/safe/q", Status: http.StatusServiceUnavailable, Answer: "The request has not run: quarantined.\n"}
	is.Equal(len(w.crashesContained(map[string]*Sent{"q": &refused})), 1)
	refused.URI = uri
	is.Equal(len(w.crashesContained(map[string]*Sent{"q": &refused})), 0)
}
