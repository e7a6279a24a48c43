package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"hornbeamstream.example/core/steerer"
)

// beaconSize bounds a beacon in bytes.
const beaconSize = 1200

// listen takes the beacons of other instances.
func (r *Runner) listen(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("beacons: %w", err)
		}
	}()
	emit := r.emit(ctx)
	buf := make([]byte, beaconSize)
	for {
		n, from, err := r.beacons.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A refused beacon of our own is reported here.
			continue
		}
		r.guard.Do("beacon", func() {
			var b steerer.Beacon
			if err := json.Unmarshal(buf[:n], &b); err != nil {
				r.cfg.Log.V(1).Info("unreadable beacon", "cause", err.Error())
				return
			}
			emit(steerer.BeaconReceived{Now: r.now(), Beacon: b, From: from.String()})
		})
	}
}

// openBeacons opens the socket for beacons. They are sent from the address at
// which they are taken, so that an instance that knows no other can ask back.
func (r *Runner) openBeacons(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("beacons: %w", err)
		}
	}()
	address, err := net.ResolveUDPAddr("udp4", r.cfg.Self.Beacon)
	if err != nil {
		return err
	}
	r.beacons, err = net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = r.beacons.Close() })
	return nil
}

// send sends a beacon. A lost one is not repeated.
func (r *Runner) send(s steerer.SendBeacon) {
	data, err := json.Marshal(s.Beacon)
	if err != nil {
		r.cfg.Log.Info("no beacon sent", "cause", err.Error())
		return
	}
	for _, to := range s.To {
		address, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			r.cfg.Log.V(1).Info("no beacon sent", "to", to, "cause", err.Error())
			continue
		}
		// An unreachable instance is noticed by the lack of its beacons.
		_, _ = r.beacons.WriteToUDP(data, address)
	}
}
