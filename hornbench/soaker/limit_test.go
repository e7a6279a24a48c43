package soaker

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLimitsKept shows the check instances that together send an upstream more than its
// limit, and some that may. The limit of 2 a second allows 17 requests in 4 s.
func TestLimitsKept(t *testing.T) {
	began := time.Now()
	at := func(seconds float64) time.Time { return began.Add(time.Duration(seconds * float64(time.Second))) }
	fronts := []*Instance{{IP: "i"}, {IP: "j"}}
	tests := []struct {
		name string
		// spacing is the time between two requests, in turn from both instances, from
		// second 4 to 9.
		spacing float64
		// told are the instances that have passed on the limit at once.
		told []int
		// end is when the limit ends. If change is set, another limit follows.
		end    float64
		change bool
		edit   func()
		want   int
	}{
		{"within the limit", 0.5, []int{0, 1}, 20, false, func() {}, 0},
		{"beyond the limit", 0.2, []int{0, 1}, 20, false, func() {}, 1},
		{"one instance was not told", 0.2, []int{0}, 20, false, func() {}, 0},
		{"the limit had ended", 0.2, []int{0, 1}, 3.9, false, func() {}, 0},
		{"the limit has changed", 0.2, []int{0, 1}, 3.9, true, func() {}, 1},
		{"an instance was restarted", 0.2, []int{0, 1}, 20, false, func() { fronts[1].disturbed = []span{{at(2), at(3)}} }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			fronts[1].disturbed = nil
			tt.edit()
			sent := map[string]*Sent{}
			u := &Upstream{ID: "u", limits: []limitPeriod{{span{at(0), at(tt.end)}, 2, map[string]bool{}}}}
			if tt.change {
				u.limits = append(u.limits, limitPeriod{span{at(tt.end), at(20)}, 1, map[string]bool{}})
			}
			send := func(id string, start float64, instance int) {
				sent[id] = &Sent{ID: id, Instance: fronts[instance].Front(), Start: at(start), End: at(start), Status: http.StatusOK}
				u.arrivals = append(u.arrivals, arrival{id, at(start)})
			}
			for _, instance := range tt.told {
				id := fmt.Sprint("told", instance)
				send(id, 0, instance)
				u.limits[0].answers[id] = true
			}
			for n := 0; 4+float64(n)*tt.spacing < 9; n++ {
				send(fmt.Sprint("q", n), 4+float64(n)*tt.spacing, n%2)
			}
			names := map[string]*Instance{fronts[0].Front(): fronts[0], fronts[1].Front(): fronts[1]}
			is.Equal(len(u.limitsKept(sent, names)), tt.want)
		})
	}
}
