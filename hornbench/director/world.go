package director

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"strings"

	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/hornbench/emulator"
)

// Ports next to the platform's own, on its host.
const (
	controlPort = "7600"
	forwardPort = "7700"
)

// Costs of the upstreams in milliseconds.
const (
	openCost  = 1
	probeCost = 6
)

// work is the mean service time in milliseconds and the size of the answers.
// The times are 4 times those of the services, which keeps the rate at the
// sizes of the deployments within what one machine generates and answers.
type work struct {
	mean float64
	size int
}

func workOf(s loader.Service) work {
	switch {
	case s.Bulk:
		return work{mean: 240, size: 256 << 10}
	case s.Once:
		return work{mean: 80, size: 512}
	}
	return work{mean: 32, size: 1 << 10}
}

// World is the platform and the upstreams of a deployment in this process.
type World struct {
	Platform *emulator.Platform
	Fleet    *emulator.Fleet
	servers  []*http.Server
}

// NewWorld starts the stand-ins of a deployment. The service times are
// multiplied by factor.
func NewWorld(d *Deployment, factor float64) (w *World, err error) {
	defer func() {
		if err != nil {
			w.Close()
			w, err = nil, fmt.Errorf("stand-ins: %w", err)
		}
	}()
	w = &World{Platform: emulator.NewPlatform(), Fleet: &emulator.Fleet{}}
	names := make([]string, 0, len(d.Upstreams))
	for name := range d.Upstreams {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		u := d.Upstreams[name]
		work := workOf(d.Services[u.Service])
		w.Fleet.Add(emulator.Place{
			Name: name, Service: u.Service, Domain: u.Domain,
			Region: d.Domains[u.Domain].Region, Address: u.Address,
		}, emulator.Behavior{
			Slots: u.Slots, Conns: u.MaxConns, Open: openCost, Probe: probeCost,
			Mean: work.mean * factor, Spread: 0.5, Size: work.size,
		})
	}
	if err := w.Fleet.Listen(); err != nil {
		return w, err
	}
	if err := w.serve(d.platform(), w.Platform); err != nil {
		return w, err
	}
	return w, w.serve(d.beside(controlPort), w.Fleet.Handler())
}

func (d *Deployment) platform() string {
	return strings.TrimPrefix(d.Settings[0].Platform, "http://")
}

// beside returns an address on the platform's host, so that deployments with
// different platforms can run next to each other.
func (d *Deployment) beside(port string) string {
	host, _, err := net.SplitHostPort(d.platform())
	if err != nil {
		host = "127.0.0.1"
	}
	return net.JoinHostPort(host, port)
}

func (w *World) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ErrorLog: log.New(io.Discard, "", 0)}
	w.servers = append(w.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Printf("stand-in at %s: %v", address, err)
		}
	}()
	return nil
}

// Close stops everything.
func (w *World) Close() {
	w.Fleet.Close()
	for _, s := range w.servers {
		_ = s.Close()
	}
}
