package relayer

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"hornbeamstream.example/core/steerer"
)

// withWorkspaces adds two workspaces and a public route to a view.
func withWorkspaces(v *steerer.View) {
	v.Config.Version++
	v.Config.Workspaces = []steerer.Workspace{
		{Name: "red", Keys: []string{"key-1", "key-2"}},
		{Name: "blue", Keys: []string{"key-3"}, Rate: 1, Burst: 3},
	}
	open := v.Config.Routes[0]
	open.Name, open.Prefix, open.Public = "open", "/open/", true
	v.Config.Routes = append(v.Config.Routes, open)
}

// TestIdentity checks what reaches an upstream of a caller's key and of the workspace that it
// claims, and who is refused.
func TestIdentity(t *testing.T) {
	var mu sync.Mutex
	refusals := 0
	stub := func(id string) *upstreamStub {
		return startStub(t, id, func(s *upstreamStub, c net.Conn, r *http.Request, body string) {
			mu.Lock()
			defer mu.Unlock()
			if refusals > 0 {
				refusals--
				_, _ = fmt.Fprintf(c, "HTTP/1.1 503 X\r\nId: %s\r\nNotrun: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Id"))
				return
			}
			respondOK(s, c, r, body)
		})
	}
	h := startHarness(t, stub("u1"), stub("u2"))
	h.publish(withWorkspaces)
	seen := func() (all []*http.Request) {
		for _, s := range h.stubs {
			s.mu.Lock()
			all = append(all, s.seen...)
			s.seen = nil
			s.mu.Unlock()
		}
		return all
	}
	for _, tt := range []struct {
		name, method, path string
		refusals           int
		header             []string
		status             int
		workspace          string
	}{
		{"first key", "GET", "/safe/x", 0, []string{"Credential", "key-1"}, 200, "red"},
		{"second key", "POST", "/once/x", 0, []string{"Credential", "key-2"}, 200, "red"},
		{"claims another workspace", "GET", "/safe/x", 0, []string{"Credential", "key-3", "Workspace", "red"}, 200, "blue"},
		{"sent again", "GET", "/safe/x", 1, []string{"Credential", "key-1", "Workspace", "blue"}, 200, "red"},
		{"unknown key", "GET", "/safe/x", 0, []string{"Credential", "key-4", "Workspace", "red"}, 401, ""},
		{"no key", "GET", "/safe/x", 0, nil, 401, ""},
		{"public", "GET", "/open/x", 0, []string{"Credential", "key-1", "Workspace", "red"}, 200, ""},
		{"no route", "GET", "/other/x", 0, nil, 404, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			mu.Lock()
			refusals = tt.refusals
			mu.Unlock()
			is.Equal(h.do(tt.method, tt.path, "", tt.header...).status, tt.status)
			arrived := seen()
			is.Equal(len(arrived) > tt.refusals, tt.status == 200)
			for _, r := range arrived {
				is.Equal(r.Header.Get("Workspace"), tt.workspace)
				is.Equal(r.Header.Get("Credential"), "")
			}
		})
	}
}

// TestPipelinedIdentity pipelines requests with different keys on one connection.
func TestPipelinedIdentity(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.reply(c, r, 200, "for "+r.Header.Get("Workspace")+r.Header.Get("Credential"))
	}))
	h.publish(withWorkspaces)
	c, err := net.Dial("tcp", h.address)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for i, key := range []string{"key-1", "key-3", "key-4", "key-2"} {
		closing := ""
		if i == 3 {
			closing = "Connection: close\r\n"
		}
		_, err = fmt.Fprintf(c, "GET /safe/x HTTP/1.1\r\nHost: h\r\nId: q%d\r\nCredential: %s\r\n%s\r\n", i, key, closing)
		is.NoErr(err)
	}
	data, err := io.ReadAll(c)
	is.NoErr(err)
	var got []string
	for _, response := range strings.Split(string(data), "HTTP/1.1 ")[1:] {
		_, body, _ := strings.Cut(response, "\r\n\r\n")
		got = append(got, response[:4]+strings.TrimSpace(body))
	}
	is.Equal(got, []string{"200 for red", "200 for blue", "401 Unauthorized: unknown key.", "200 for red"})
}

// TestRevokedKey takes a key away while its caller's connection stays open.
func TestRevokedKey(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	h.publish(withWorkspaces)
	client := &http.Client{Transport: &http.Transport{}}
	ask := func() int {
		r, err := http.NewRequest(http.MethodGet, "http://"+h.address+"/safe/x", nil)
		is.NoErr(err)
		r.Host = "h"
		r.Header.Set("Id", "q1")
		r.Header.Set("Credential", "key-2")
		res, err := client.Do(r)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
		return res.StatusCode
	}
	is.Equal(ask(), 200)
	revoke := func(v *steerer.View) {
		withWorkspaces(v)
		v.Config.Workspaces[0].Keys = []string{"key-1"}
	}
	h.publish(revoke)
	is.Equal(ask(), 401)
	h.publish(revoke, func(v *steerer.View) { v.ConfigUnconfirmed = true })
	is.Equal(ask(), 503) // a newer configuration may have the key
	is.Equal(h.runs(), 1)
}

// TestAllowance sends more than a workspace may. What does not run is not counted.
func TestAllowance(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", respondOK))
	h.publish(withWorkspaces)
	ask := func() callerResponse { return h.do("POST", "/once/x", "", "Credential", "key-3") }
	served := 0
	var refused callerResponse
	for range 12 {
		if a := ask(); a.status == 200 {
			served++
		} else {
			refused = a
		}
	}
	is.True(served >= 1 && served < 12)
	is.Equal(refused.status, 429)
	is.True(refused.header.Get("Retry-After") != "")
	is.Equal(h.runs(), served)
	is.Equal(h.do("POST", "/once/x", "", "Credential", "key-1").status, 200) // another workspace
	admitted := h.tables.Load().Workspaces()[1].Share.Use().Admitted
	is.Equal(admitted, uint64(served))
	h.publish(withWorkspaces, func(v *steerer.View) { v.Upstreams = nil })
	for range 3 {
		ask()
	}
	is.Equal(h.tables.Load().Workspaces()[1].Share.Use().Admitted, admitted)
	h.publish(withWorkspaces, func(v *steerer.View) { v.PeersIncomplete = true })
	is.Equal(ask().status, 503)
}

// TestHomesOfWorkspace sends requests of a workspace whose home is in another region.
func TestHomesOfWorkspace(t *testing.T) {
	is := is.New(t)
	near, far := startStub(t, "near", respondOK), startStub(t, "far", respondOK)
	h := startHarness(t, near, far)
	h.builder.Regions = map[string]string{"a": "r", "b": "r2"}
	h.publish(withWorkspaces, func(v *steerer.View) {
		v.Upstreams[1].Domain, v.Upstreams[1].Born = "b", 1
		v.Config.Workspaces[0].Homes = []string{"r2"}
		v.Config.Routes[1].Homes = []string{"r"}
	})
	for range 5 {
		is.Equal(h.do("GET", "/safe/x", "", "Credential", "key-1").status, 200)
	}
	is.Equal(near.runCount(), 0)
	is.Equal(h.do("GET", "/once/x", "", "Credential", "key-1").status, 503) // the route's home and the workspace's have no region in common
	is.Equal(far.runCount(), 5)
}
