package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/submitter"
	"hornbeamstream.example/core/submitter/verifier"
)

// client calls a stand-in and returns the status, or 0 when the connection was
// closed without an answer.
type client struct {
	t   *testing.T
	url string
	http.Client
}

func (c *client) call(method, path, body string) (int, string) {
	c.t.Helper()
	r, err := http.NewRequest(method, c.url+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	a, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, err.Error()
	}
	return a.StatusCode, string(b)
}

func startPlatform(t *testing.T) (*Platform, *client) {
	p := NewPlatform()
	s := httptest.NewServer(p)
	t.Cleanup(s.Close)
	// Without keep-alive the transport repeats nothing when an answer is lost.
	return p, &client{t: t, url: s.URL, Client: http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// Guards against stand-ins that answer otherwise than the published API, which
// would hide faults of the adapter.
func TestPlatformContract(t *testing.T) {
	_, c := startPlatform(t)
	big := `"` + strings.Repeat("x", valueBytes) + `"`
	for i, step := range []struct {
		method, path, body string
		status             int
		answer             string
	}{
		{"GET", "/v1/objects/ticket/1", "", 404, "no such object"},
		{"PUT", "/v1/objects/ticket/1?create=1", `{"a":1}`, 200, `{"key":"ticket/1","version":1}`},
		{"PUT", "/v1/objects/ticket/1?create=1", `{"a":2}`, 409, `{"key":"ticket/1","version":1,"value":{"a":1}}`},
		{"PUT", "/v1/objects/ticket%2F2?create=1", `2`, 200, `{"key":"ticket/2","version":2}`},
		{"GET", "/v1/objects/ticket/1", "", 200, `{"key":"ticket/1","version":1,"value":{"a":1}}`},
		{"PUT", "/v1/objects/ticket/1?version=1", `3`, 200, `{"key":"ticket/1","version":3}`},
		{"PUT", "/v1/objects/ticket/1?version=1", `4`, 409, `{"key":"ticket/1","version":3,"value":3}`},
		{"PUT", "/v1/objects/lease/x?version=7", `4`, 404, "no such object"},
		{"PUT", "/v1/objects/lease/x", `4`, 400, "neither create nor version"},
		{"PUT", "/v1/objects/lease/x?create=1", `{`, 400, "not JSON"},
		{"PUT", "/v1/objects/lease/x?create=1", big, 413, "1 MB"},
		{"PUT", "/v1/objects/lease/x?create=1", `5`, 200, `"version":4`},
		{"GET", "/v1/objects?prefix=ticket/", "", 200, `{"revision":4,"objects":[{"key":"ticket/1","version":3,"value":3},{"key":"ticket/2","version":2,"value":2}]}`},
		{"GET", "/v1/objects?prefix=ticket/&after=ticket/1", "", 200, `{"revision":4,"objects":[{"key":"ticket/2","version":2,"value":2}]}`},
		{"GET", "/v1/watch?prefix=ticket/&after=2&wait=10000", "", 200, `{"revision":4,"objects":[{"key":"ticket/1","version":3,"value":3}]}`},
		{"GET", "/v1/watch?prefix=ticket/&after=3&wait=1", "", 200, `{"revision":4,"objects":[]}`},
		{"GET", "/v1/watch?prefix=ticket/&after=x&wait=1", "", 400, "not a revision"},
		{"PUT", "/v1/instances/b", `{"address":"127.0.0.1:2","domain":"d","state":"leaving"}`, 200, ""},
		{"PUT", "/v1/instances/a", `{"address":"127.0.0.1:1","domain":"d"}`, 200, ""},
		{"PUT", "/v1/instances/a", `{"state":"gone"}`, 400, "neither live nor leaving"},
		{"GET", "/v1/instances", "", 200, `[{"name":"a","address":"127.0.0.1:1","domain":"d","state":"live"},{"name":"b","address":"127.0.0.1:2","domain":"d","state":"leaving"}]`},
		{"DELETE", "/v1/instances/b", "", 200, ""},
		{"GET", "/v1/instances", "", 200, `[{"name":"a","address":"127.0.0.1:1","domain":"d","state":"live"}]`},
	} {
		t.Run(fmt.Sprintf("%d %s %s", i, step.method, step.path), func(t *testing.T) {
			is := is.New(t)
			status, answer := c.call(step.method, step.path, step.body)
			is.Equal(status, step.status)
			if !strings.Contains(answer, step.answer) {
				t.Errorf("got %s, want %s", answer, step.answer)
			}
		})
	}
}

// Guards against a platform that the adapter cannot use as a ticket store.
func TestPlatformStore(t *testing.T) {
	verifier.Verify(t, func(t *testing.T) submitter.Store {
		_, c := startPlatform(t)
		s, err := connector.New(c.url)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		return s
	})
}

// Guards against fault switches that do nothing, with which every fault test of
// the system would pass.
func TestPlatformFaults(t *testing.T) {
	put, get := "/v1/objects/k?version=1", "/v1/objects/k"
	for _, x := range []struct {
		name, faults string
		method, path string
		status       int
		answer       string
		after        string
	}{
		{"none", `{}`, "PUT", put, 200, `"version":2`, `"value":2`},
		{"down", `{"down":true}`, "PUT", put, 0, "EOF", `"value":1`},
		{"lost answer", `{"lose":1}`, "PUT", put, 0, "EOF", `"value":2`},
		{"lost answer of a refused write", `{"lose":1}`, "PUT", "/v1/objects/k?create=1", 409, `"value":1`, `"value":1`},
		{"slow", `{"slow":300}`, "PUT", put, 0, "Timeout", `"value":1`},
		{"hang", `{"hang":true}`, "GET", get, 0, "Timeout", `"value":1`},
		{"stale", `{"stale":true}`, "PUT", put, 200, `"version":2`, `"value":2`},
	} {
		t.Run(x.name, func(t *testing.T) {
			is := is.New(t)
			_, c := startPlatform(t)
			c.call("PUT", "/v1/objects/k?create=1", "1")
			status, _ := c.call("POST", "/v1/faults", x.faults)
			is.Equal(status, 200)
			c.Timeout = 100 * time.Millisecond
			status, answer := c.call(x.method, x.path, "2")
			is.Equal(status, x.status)
			if !strings.Contains(answer, x.answer) {
				t.Errorf("got %s, want %s", answer, x.answer)
			}
			c.Timeout = 0
			if x.name == "stale" {
				_, answer = c.call("GET", get, "")
				is.True(strings.Contains(answer, `"value":1`))
			}
			c.call("POST", "/v1/faults", `{"down":false,"hang":false,"slow":0,"stale":false}`)
			_, answer = c.call("GET", get, "")
			is.True(strings.Contains(answer, x.after))
		})
	}
}

// Guards against a watch that misses a change, wakes for other keys or outlives
// an outage, and against counts that grow with the time of a wait.
func TestPlatformWatch(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	watch := func() chan string {
		got := make(chan string, 1)
		go func() {
			_, answer := c.call("GET", "/v1/watch?prefix=ticket/&after=0&wait=30000", "")
			got <- answer
		}()
		return got
	}
	waiting := func(n int) {
		for p.Calls()["watch"] < n {
			time.Sleep(time.Millisecond)
		}
	}
	got := watch()
	waiting(1)
	c.call("PUT", "/v1/objects/lease/x?create=1", "1")
	c.call("PUT", "/v1/objects/ticket/1?create=1", "2")
	var l List
	is.NoErr(json.Unmarshal([]byte(<-got), &l))
	is.Equal(l.Revision, uint64(2))
	is.Equal(len(l.Objects), 1)
	is.Equal(p.Calls(), map[string]int{"watch": 1, "put": 2, "total": 3})

	p.Set(Faults{Stale: true})
	c.call("PUT", "/v1/objects/ticket/2?create=1", "2")
	_, answer := c.call("GET", "/v1/watch?prefix=ticket/&after=2&wait=1", "")
	is.Equal(answer, `{"revision":2,"objects":[]}`)

	p.Set(Faults{Down: true})
	is.True(strings.Contains(<-watch(), "EOF"))
}

// Guards against an instance list that shows changes at once.
func TestRosterLag(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	r := &roster{}
	r.add(move{at: start, instance: Instance{Name: "a", State: "live"}})
	r.add(move{at: start.Add(2 * time.Second), instance: Instance{Name: "a", State: "leaving"}})
	r.add(move{at: start.Add(4 * time.Second), instance: Instance{Name: "a"}, removed: true})
	for second, want := range map[int]string{-1: "[]", 0: "[{a   live}]", 3: "[{a   leaving}]", 4: "[]"} {
		is.Equal(fmt.Sprint(r.at(start.Add(time.Duration(second)*time.Second))), want)
	}
	p, c := startPlatform(t)
	p.Set(Faults{Lag: time.Hour.Milliseconds()})
	c.call("PUT", "/v1/instances/a", `{}`)
	_, answer := c.call("GET", "/v1/instances", "")
	is.Equal(answer, "[]")
}
