package relayer

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/quarantiner"
)

// TestLostConnectionLogsDigest guards against log lines that do not show whether the
// requests in progress at ending upstreams are repeats of one request.
func TestLostConnectionLogsDigest(t *testing.T) {
	is := is.New(t)
	h := startHarness(t, startStub(t, "u1", func(s *upstreamStub, c net.Conn, r *http.Request, _ string) {
		s.recordRun(r)
		_ = c.Close()
	}))
	var mu sync.Mutex
	var digests []string
	h.relayer.cfg.Log = funcr.New(func(_, args string) {
		mu.Lock()
		defer mu.Unlock()
		if _, digest, ok := strings.Cut(args, `"digest"="`); ok {
			digests = append(digests, digest[:16])
		}
	}, funcr.Options{})
	for _, q := range [][]string{
		{"/once/x", "b"},
		{"/once/x", "b", "Id", "q2"}, // a repeat has another ID
		{"/once/y", "b"},
		{"/once/x", "c"},
		{"/once/x", "b", "Key", "k"},
	} {
		is.Equal(h.do("POST", q[0], q[1], q[2:]...).status, 502)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(len(digests), 5)
	is.Equal(digests[0], digests[1])
	different := map[string]bool{}
	for _, d := range digests[1:] {
		different[d] = true
	}
	is.Equal(len(different), 4)
}

// TestDigestOutlivesKeys guards against a crashing request that is not recognized as a repeat
// after its workspace's key has changed.
func TestDigestOutlivesKeys(t *testing.T) {
	is := is.New(t)
	h := startHarness(t)
	h.publish(withWorkspaces)
	table := h.tables.Load()
	digest := func(key string) quarantiner.Digest {
		ctx := &fasthttp.RequestCtx{}
		ctx.Request.SetRequestURI("/safe/x")
		c := h.relayer.newCall(ctx, nil, h.now())
		c.caller, c.workspace = []byte(key), table.Workspace([]byte(key))
		return c.digest()
	}
	is.Equal(digest("key-1"), digest("key-2"))
	is.True(digest("key-1") != digest("key-3")) // another workspace
	is.True(digest("key-4") != digest("key-5")) // no workspace
}
