package forwarder_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/hornbeamd/forwarder"
)

// TestCrashingRequest guards against a request that crashes the upstreams that run it and
// is sent to further ones each time it comes again, directly or through another instance.
func TestCrashingRequest(t *testing.T) {
	for _, once := range []bool{false, true} {
		for _, hop := range []bool{false, true} {
			t.Run(fmt.Sprint("once ", once, " hop ", hop), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var ups []*upstream
				for range 12 {
					u := newUpstream(t, nil)
					u.respond = func(c net.Conn, a received) bool {
						if strings.HasPrefix(a.id, "crash") {
							u.close()
							return false
						}
						return reply(c, a.id, "ok")
					}
					ups = append(ups, u)
				}
				holder := newInstance(t, "a", newService("posting", once, ups...))
				entry := holder
				if hop {
					entry = newProxyInstance(t, "posting", once, holder)
				}
				var last response
				for n := 0; n < 25 && last.reason != string(forwarder.ReasonQuarantined); n++ {
					last = sendRequest(entry.front, "POST", "/s/posting/", "the body", "Horn-Id", fmt.Sprint("crash", n))
					time.Sleep(300 * time.Millisecond) // each crash is separate
				}
				arrived := 0
				for _, u := range ups {
					arrived += len(u.requests())
				}
				t.Logf("%d of %d upstreams crashed", arrived, len(ups))
				if once {
					is.Equal(arrived, 3)
				}
				is.True(arrived <= 6) // a request that may be repeated is sent to a second one at once
				is.Equal(last.status, 503)
				is.Equal(last.outcome, forwarder.OutcomeNotRun.String())
				is.Equal(last.reason, string(forwarder.ReasonQuarantined))
				waitFor(t, "another request is served", func() bool {
					return sendRequest(entry.front, "POST", "/s/posting/", "another body").status == 200
				})
			})
		}
	}
}
