package relayer

import (
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/allocator"
)

// identify finds the workspace of a request and takes the request from its allowance. It
// reports whether the request may be sent; otherwise it responds to it.
func (r *Relayer) identify(c *call, credential []byte) bool {
	if !c.table.HasWorkspaces() || c.route.Public {
		return true
	}
	view := &c.table.View
	w := c.table.Workspace(credential)
	switch {
	case w == nil && view.ConfigUnconfirmed:
		// A newer configuration may have the key.
		c.refuse(outcome{label: "unknown key, unconfirmed", retryAfter: startingRetryAfter})
		return false
	case w == nil:
		c.fail(fasthttp.StatusUnauthorized, outcome{label: "unknown key"})
		c.ctx.Response.Header.Set(fasthttp.HeaderWWWAuthenticate, "Bearer")
		return false
	case w.Limited() && view.PeersIncomplete:
		// The other instances may not count this one.
		c.refuse(outcome{label: "starting", retryAfter: startingRetryAfter})
		return false
	}
	c.workspace = w
	refusal, ok := w.Share.Take(r.cfg.Now())
	if !ok {
		c.refuseOverAllowance(refusal)
	}
	return ok
}

// settleAllowance corrects the use of the workspace's allowance by a request that has ended:
// only runs count.
func (r *Relayer) settleAllowance(c *call) {
	if c.workspace == nil {
		return
	}
	now := r.cfg.Now()
	if c.runs == 0 {
		c.workspace.Share.Return(now)
	}
	for range c.runs - 1 {
		c.workspace.Share.Charge(now)
	}
}

// refuseOverAllowance responds that the request has not run because the workspace has used up
// its allowance.
func (c *call) refuseOverAllowance(r allocator.Refusal) {
	c.refuse(outcome{label: "over allowance", retryAfter: r.RetryAfter, cause: fmt.Sprintf("%s, headroom %.1f", r.Basis, r.Headroom)})
	c.ctx.Response.SetStatusCode(fasthttp.StatusTooManyRequests)
	c.last.status = fasthttp.StatusTooManyRequests
}

// workspaceName returns the name of the request's workspace, "" if it has none.
func (c *call) workspaceName() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// formatRetryAfter returns the value of a Retry-After field, in seconds.
func formatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(max(d, minRetryAfter).Seconds(), 'f', 3, 64)
}
