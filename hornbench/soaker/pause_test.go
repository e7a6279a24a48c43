package soaker

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausesNoticed checks which runs after a pause of seconds 1 to 5 count as runs by a
// configuration from before it. The routes move to alpha at second 0, to beta at second 3.
func TestPausesNoticed(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	for _, tt := range []struct {
		name       string
		start, run float64
		service    string
		disturbed  []span
		want       int
	}{
		{name: "by the new configuration", start: 5.1, run: 5.2, service: "beta"},
		{name: "by the old one", start: 5.1, run: 5.2, service: "alpha", want: 1},
		{name: "sent during the pause, after the move", start: 4, run: 5.1, service: "alpha", want: 1},
		{name: "sent during the pause, before the move", start: 2, run: 5.1, service: "alpha"},
		{name: "run before the pause ended", start: 0.9, run: 0.95, service: "alpha"},
		{name: "long after the pause", start: 9, run: 9.1, service: "alpha"},
		{name: "disturbed since", start: 5.1, run: 5.2, service: "alpha", disturbed: []span{{at(5.05), at(5.1)}}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			pause := span{at(1), at(5)}
			i := &Instance{IP: "i", proxy: &Proxy{}, disturbed: append([]span{pause}, tt.disturbed...), paused: []span{pause}}
			w := &World{instances: []*Instance{i}, ledger: &Ledger{}, moves: []move{{at(0), "alpha"}, {at(3), "beta"}}}
			w.ledger.add("q", Run{Service: tt.service, At: at(tt.run)})
			is.Equal(len(w.pausesNoticed([]Sent{{ID: "q", Instance: i.Front(), Start: at(tt.start)}})), tt.want)
		})
	}
}
