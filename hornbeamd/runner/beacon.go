package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"

	"hornbeamstream.example/core/steerer"
)

// maxBeaconBytes is the size of the receive buffer for a beacon.
const maxBeaconBytes = 1200

// receiveBeacons receives beacons from other instances and queues an event for
// each.
func (r *Runner) receiveBeacons(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("beacons: %w", err)
		}
	}()
	emit := r.emitter(ctx)
	buf := make([]byte, maxBeaconBytes)
	for {
		n, from, err := r.beaconConn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Such as ECONNREFUSED for a beacon that this instance sent.
			continue
		}
		r.recoverer.Do("beacon", func() {
			var b steerer.Beacon
			if err := json.Unmarshal(buf[:n], &b); err != nil {
				r.cfg.Log.V(1).Info("invalid beacon", "cause", err.Error())
				return
			}
			emit(steerer.BeaconReceived{Now: r.now(), Beacon: b, From: from.String()})
		})
	}
}

// openBeacons opens the UDP socket for beacons. It sends from the address at which
// it receives, so that an instance that knows no other instance can call the
// sender.
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
	r.beaconConn, err = net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = r.beaconConn.Close() })
	return nil
}

// sendBeacon sends a beacon without retransmission.
func (r *Runner) sendBeacon(s steerer.SendBeacon) {
	data, err := json.Marshal(s.Beacon)
	if err != nil {
		r.cfg.Log.Info("can't encode beacon", "cause", err.Error())
		return
	}
	for _, to := range s.To {
		address, err := net.ResolveUDPAddr("udp4", to)
		if err != nil {
			r.cfg.Log.V(1).Info("can't resolve beacon address", "to", to, "cause", err.Error())
			continue
		}
		// Unreachable instances are detected by the absence of their beacons.
		_, _ = r.beaconConn.WriteToUDP(data, address)
	}
}
