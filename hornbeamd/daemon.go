package main

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/stdr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/observer"
	"hornbeamstream.example/core/recorder"
	"hornbeamstream.example/core/reporter"
	"hornbeamstream.example/hornbeamd/executor"
	"hornbeamstream.example/hornbeamd/exporter"
	"hornbeamstream.example/hornbeamd/forwarder"
	"hornbeamstream.example/hornbeamd/server"
)

const (
	// cachedLookups is how long after the announcement of a planned stop callers
	// may still use this instance: two exchanges between failure domains and
	// the 5 s for which look-ups are cached.
	cachedLookups = 7 * time.Second
	// stopTimeout bounds the time for requests in flight at a planned stop, so
	// that the longest ones can end.
	stopTimeout = loader.MaxServiceTimeout + 5*time.Second
)

// daemon is one running instance.
type daemon struct {
	settings  loader.Settings
	clock     executor.Clock
	log       logr.Logger
	ring      *recorder.Ring
	registry  *prometheus.Registry
	executor  *executor.Executor
	forwarder *forwarder.Forwarder
	front     *server.Server
	data      *server.Server
	peer      *http.Server
	admin     *fasthttp.Server
	listeners map[string]net.Listener
}

// run serves until the context ends and then stops without cutting requests.
func run(ctx context.Context, settings loader.Settings, hedge bool) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("instance %s: %w", settings.Name, err)
		}
	}()
	d, err := newDaemon(settings, hedge)
	if err != nil {
		return err
	}
	return d.run(ctx)
}

func newDaemon(settings loader.Settings, hedge bool) (*daemon, error) {
	platform, err := connector.New(settings.Platform)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		settings: settings,
		clock:    executor.NewClock(),
		log:      stdr.New(log.New(os.Stderr, "", log.LstdFlags|log.Lmicroseconds)).WithName(settings.Name),
		ring:     &recorder.Ring{},
		registry: prometheus.NewRegistry(),
	}
	metrics := exporter.NewMetrics(d.registry)
	d.executor = executor.New(executor.Config{
		Clock:    d.clock,
		Self:     member(settings, d.clock),
		Region:   settings.Region,
		Seeds:    settings.Seeds,
		Platform: platform,
		Ring:     d.ring,
		Metrics:  metrics,
		Log:      d.log,
	})
	d.forwarder = forwarder.New(forwarder.Config{
		Tables:      d.executor,
		Metrics:     metrics,
		PeerQuerier: d.executor,
		Hedge:       hedge,
		Now:         d.clock.UnixNano,
	})
	d.executor.SetTraffic(traffic{d.forwarder})
	d.servers()
	return d, d.listen()
}

// member describes this instance. Its start time serves as incarnation, which
// rises with every start.
func member(s loader.Settings, c executor.Clock) granter.Member {
	return granter.Member{
		Name:        s.Name,
		Incarnation: uint64(c.Now().UnixMilli()),
		Front:       s.Front,
		Peer:        s.Peer,
		Data:        s.Data,
		Admin:       s.Admin,
		Domain:      s.Domain,
	}
}

func (d *daemon) servers() {
	config := server.Config{
		Tables:   d.executor,
		Handler:  d.forwarder,
		Resolver: d.executor,
		Now:      d.clock.UnixNano,
	}
	d.front = server.New(config)
	config.Hops = true
	d.data = server.New(config)
	d.peer = d.executor.PeerServer()
	d.registry.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		exporter.HeadroomCollector{Upstreams: d.held, Region: d.settings.Region},
	)
	d.admin = exporter.Admin{
		Registry: d.registry,
		Timeline: d.ring,
		Status:   d.executor.Status,
		Ready:    func() bool { return d.executor.Table().Version > 0 },
	}.Server()
}

func (d *daemon) held() []reporter.Upstream {
	return executor.HeldUpstreams(d.executor.Table(), d.clock.UnixNano())
}

func (d *daemon) listen() (err error) {
	d.listeners = map[string]net.Listener{}
	for name, address := range map[string]string{
		"front": d.settings.Front,
		"data":  d.settings.Data,
		"peer":  d.settings.Peer,
		"admin": d.settings.Admin,
	} {
		d.listeners[name], err = net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("%s address: %w", name, err)
		}
	}
	return nil
}

func (d *daemon) run(ctx context.Context) error {
	// Control outlives the signal, because a planned stop needs it.
	control, endControl := context.WithCancel(context.WithoutCancel(ctx))
	defer endControl()
	group, failed := errgroup.WithContext(control)
	group.Go(func() error { return d.executor.Run(failed) })
	group.Go(func() error { return d.front.Serve(d.listeners["front"]) })
	group.Go(func() error { return d.data.Serve(d.listeners["data"]) })
	group.Go(func() error { return d.admin.Serve(d.listeners["admin"]) })
	group.Go(func() error { return ignoreClosed(d.peer.Serve(d.listeners["peer"])) })
	group.Go(func() error {
		d.executor.Register(ctx)
		return nil
	})
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-failed.Done():
			return nil
		}
		defer endControl()
		return d.stop(control)
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// stop ends the instance without cutting a request: others learn that it
// leaves, callers' cached look-ups run out, requests in flight end, and only
// then does control end.
func (d *daemon) stop(ctx context.Context) error {
	until := time.Now().Add(cachedLookups)
	d.executor.Leave()
	ctx, cancel := context.WithDeadline(ctx, until.Add(stopTimeout))
	defer cancel()
	var group errgroup.Group
	group.Go(func() error { return d.front.Shutdown(ctx, until) })
	group.Go(func() error { return d.data.Shutdown(ctx, until) })
	err := group.Wait()
	if removed := d.executor.Remove(ctx); removed != nil {
		d.log.Info("not removed from the platform's list", "cause", removed.Error())
	}
	d.forwarder.Close()
	return errors.Join(err, d.peer.Shutdown(ctx), d.admin.ShutdownWithContext(ctx))
}

// traffic connects the forwarder to the executor.
type traffic struct{ f *forwarder.Forwarder }

// Samples implements executor.Traffic.
func (t traffic) Samples() []observer.Sample { return t.f.Samples() }

// Outcome implements executor.Traffic.
func (t traffic) Outcome(q *hornpb.OutcomeRequest) *hornpb.OutcomeResponse {
	a := t.f.LookupRequest(q.GetService(), q.GetId(), q.GetFence(), q.GetSent())
	return &hornpb.OutcomeResponse{
		Fate:   a.Fate,
		Status: uint32(a.StatusCode),
		Type:   a.ContentType,
		Body:   a.Body,
		Kept:   a.HasResponse,
	}
}
