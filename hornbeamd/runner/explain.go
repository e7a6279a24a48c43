package runner

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/core/dispatcher"
	"hornbeamstream.example/core/reporter"
)

// explain returns where a request would go now. It changes nothing.
func (r *Runner) explain(q reporter.Question) reporter.Explanation {
	x := reporter.Explanation{Instance: r.cfg.Self.Name}
	t := r.table.Load()
	refuse := func(status int, reason string, retryAfter time.Duration) reporter.Explanation {
		x.Status, x.Reason, x.RetryAfter = status, reason, retryAfter.Milliseconds()
		return x
	}
	if !t.HasConfig() {
		return refuse(fasthttp.StatusServiceUnavailable, "starting", 0)
	}
	x.Version = t.View.Config.Version
	route := t.Route(strings.ToLower(q.Host), q.Path)
	if route == nil {
		return refuse(fasthttp.StatusNotFound, "no route", 0)
	}
	now := r.now()
	x.Route = route.Name
	request := &dispatcher.Request{Route: route, Key: route.KeyHash([]byte(q.AffinityKey)), Now: now, Deadline: now + int64(route.Timeout)}
	if t.HasWorkspaces() && !route.Public {
		request.Workspace = namedWorkspace(t, q.Workspace)
		switch w := request.Workspace; {
		case w == nil:
			return refuse(fasthttp.StatusUnauthorized, "unknown workspace, or none named", 0)
		case w.Limited():
			use := describeWorkspace(w, now)
			x.Workspace = &use
			if refusal, ok := w.Share.Preview(now); !ok {
				return refuse(fasthttp.StatusTooManyRequests, "over allowance, "+string(refusal.Basis), refusal.RetryAfter)
			}
		}
	}
	if t.View.Stale {
		return refuse(fasthttp.StatusServiceUnavailable, "stale", 0)
	}
	if request.Pool = route.PreviewPool(); request.Pool == nil {
		return refuse(fasthttp.StatusNotFound, "no route", 0)
	}
	x.Service = request.Pool.Name
	decision := dispatcher.Explain(request)
	for i := range decision.Upstreams {
		c := describeCandidate(&decision.Upstreams[i])
		if c.Verdict == string(dispatcher.Chosen) {
			x.Upstream = c.Name
		}
		x.Candidates = append(x.Candidates, c)
	}
	if decision.Reason != "" {
		return refuse(fasthttp.StatusServiceUnavailable, string(decision.Reason), decision.RetryAfter)
	}
	return x
}

func namedWorkspace(t *dispatcher.Table, name string) *dispatcher.Workspace {
	for _, w := range t.Workspaces() {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func describeCandidate(e *dispatcher.Explained) reporter.Candidate {
	return reporter.Candidate{
		Name: e.Upstream.ID, Domain: e.Upstream.Domain, Verdict: string(e.Verdict),
		Cost: e.Cost.Milliseconds(), Expected: e.Expected.Milliseconds(), Cold: e.ExpectedCold.Milliseconds(), Wait: e.Wait.Milliseconds(),
		Load: e.Load, Age: e.ReportAge.Milliseconds(), Slowdown: e.Slowdown, Failures: e.FailureRate, Known: e.KnownWarm,
		Warming: e.Cold.Milliseconds(), Pause: e.Pause.Milliseconds(),
	}
}
