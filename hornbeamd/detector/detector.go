// Package detector finds out whether upstreams have ended after connections to them were
// lost, and which requests were in progress there.
package detector

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"hornbeamstream.example/core/quarantiner"
)

const (
	// dialTimeout limits the opening of a connection that shows whether an upstream has
	// ended.
	dialTimeout = 500 * time.Millisecond
	// watchTime is how long that connection has to stay open for the upstream to count
	// as alive. The listener of a process may end after its connections.
	watchTime = 150 * time.Millisecond
	// maxDials bounds the connections that are opened if the upstream closes them,
	// dialPause is the time between two of them. Whatever listens for a process that has
	// ended may accept connections for a moment longer.
	maxDials  = 3
	dialPause = 100 * time.Millisecond
	// maxSuspects bounds the requests that are kept for one upstream while it is not
	// known whether it has ended.
	maxSuspects = 256
)

// Detector checks upstreams, which are identified by keys. Its zero value is ready to use.
type Detector[K comparable] struct {
	checks sync.Map // K to *check
}

// check collects the requests that were in progress on lost connections to an upstream
// while it is being checked whether the upstream has ended.
type check struct {
	mu       sync.Mutex
	suspects map[quarantiner.Digest]bool
	done     bool
}

// add adds a request unless the check has ended.
func (k *check) add(d quarantiner.Digest) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.done {
		return false
	}
	if len(k.suspects) < maxSuspects {
		k.suspects[d] = true
	}
	return true
}

// finish returns the requests and takes no more.
func (k *check) finish() map[quarantiner.Digest]bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.done = true
	return k.suspects
}

// ConnLost checks, in the background, whether an upstream has ended that has closed or reset
// its connection with a request in progress. If so, it calls crashed for each such request.
// At most one check of an upstream runs at a time.
func (t *Detector[K]) ConnLost(key K, address string, d quarantiner.Digest, crashed func(quarantiner.Digest)) {
	for {
		k := &check{suspects: map[quarantiner.Digest]bool{}}
		other, running := t.checks.LoadOrStore(key, k)
		if other.(*check).add(d) {
			if !running {
				go t.run(key, address, k, crashed)
			}
			return
		}
		// That check has just ended.
		t.checks.CompareAndDelete(key, other)
	}
}

func (t *Detector[K]) run(key K, address string, k *check, crashed func(quarantiner.Digest)) {
	ended := hasEnded(address)
	suspects := k.finish()
	if ended {
		for d := range suspects {
			crashed(d)
		}
	}
	t.checks.CompareAndDelete(key, k)
}

// Idle reports whether no check is running.
func (t *Detector[K]) Idle() bool {
	idle := true
	t.checks.Range(func(any, any) bool {
		idle = false
		return false
	})
	return idle
}

// hasEnded reports whether the process that listened on an address has ended. Without an
// answer nothing is known. An upstream at its limit of connections resets new ones, so
// only a refused connection counts.
func hasEnded(address string) bool {
	for n := range maxDials {
		if n > 0 {
			time.Sleep(dialPause)
		}
		conn, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = conn.SetReadDeadline(time.Now().Add(watchTime))
		_, err = conn.Read(make([]byte, 1))
		_ = conn.Close()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			return false
		}
	}
	return false
}

// IsConnLost reports whether err means that the other end has closed or reset the
// connection.
func IsConnLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
