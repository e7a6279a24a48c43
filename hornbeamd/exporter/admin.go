package exporter

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reporter"
)

// Timeouts of the admin server.
const (
	statusTimeout = time.Second
	adminTimeout  = 10 * time.Second
)

// Admin configures the HTTP server for operators.
type Admin struct {
	Registry *prometheus.Registry
	Timeline *recorder.Ring
	// Status returns the status of this instance.
	Status func(ctx context.Context) (reporter.Status, error)
	// Explain returns where a request would go now; nil if the daemon cannot tell.
	Explain func(q reporter.Question) reporter.Explanation
	// Ready reports whether the instance has a configuration.
	Ready func() bool
}

// Server returns the HTTP server for operators:
//
//	GET /metrics            Prometheus metrics
//	GET /health             200 while ready, 503 before the first configuration
//	GET /status             reporter.Status as JSON
//	GET /timeline?after=N   recorder.Event array as JSON, those after stamp N
//	GET /explain?host=H&path=P[&key=K][&workspace=W]
//	                        reporter.Explanation as JSON
func (a Admin) Server() *fasthttp.Server {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(a.Registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		ReadTimeout:  adminTimeout,
		WriteTimeout: adminTimeout,
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case "/metrics":
				metrics(ctx)
			case "/health":
				a.health(ctx)
			case "/status":
				a.status(ctx)
			case "/timeline":
				a.timeline(ctx)
			case "/explain":
				a.explain(ctx)
			default:
				ctx.Error("There is nothing at this path.", fasthttp.StatusNotFound)
			}
		},
	}
}

func (a Admin) health(ctx *fasthttp.RequestCtx) {
	if !a.Ready() {
		ctx.Error("no configuration yet\n", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

func (a Admin) status(ctx *fasthttp.RequestCtx) {
	statusCtx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	s, err := a.Status(statusCtx)
	if err != nil {
		ctx.Error("The control goroutine did not answer in time.", fasthttp.StatusServiceUnavailable)
		return
	}
	writeJSON(ctx, s)
}

func (a Admin) timeline(ctx *fasthttp.RequestCtx) {
	var after uint64
	if v := ctx.QueryArgs().Peek("after"); len(v) > 0 {
		var err error
		if after, err = strconv.ParseUint(string(v), 10, 64); err != nil {
			ctx.Error("The parameter after is not a stamp.", fasthttp.StatusBadRequest)
			return
		}
	}
	writeJSON(ctx, a.Timeline.After(after))
}

func (a Admin) explain(ctx *fasthttp.RequestCtx) {
	if a.Explain == nil {
		ctx.Error("This daemon does not explain decisions.", fasthttp.StatusNotImplemented)
		return
	}
	args := ctx.QueryArgs()
	text := func(name string) string { return string(args.Peek(name)) }
	writeJSON(ctx, a.Explain(reporter.Question{Host: text("host"), Path: text("path"), AffinityKey: text("key"), Workspace: text("workspace")}))
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
