package submitter

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"hornbeamstream.example/core/loader"
)

// Memory is a Store in memory with fault switches, for tests. The zero value is
// an empty store.
type MemoryStore struct {
	// Page is the largest number of objects in one answer of List; 0 means all.
	PageSize int

	mu       sync.Mutex
	revision uint64
	objects  map[string][]Object
	faults   Faults
	calls    map[string]int
	late     []func()
	changed  chan struct{}
}

// Faults are the switches of a Memory. The counts go down with each use.
type Faults struct {
	// Down makes every call fail with ErrUnavailable.
	Down bool
	// Lose is the number of writes whose answer is lost after they took effect.
	LostResponses int
	// Drop is the number of writes that are lost before they take effect.
	LostRequests int
	// Delay is the number of writes whose answer is lost and that take effect
	// only when Deliver is called.
	DelayedWrites int
	// Stale makes Get and List answer as of this revision, if it is not 0.
	StaleRevision uint64
}

// Set replaces the fault switches.
func (m *MemoryStore) SetFaults(f Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = f
	m.wake()
}

// Revision returns the newest store revision.
func (m *MemoryStore) Revision() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// Calls returns the number of calls by kind: get, list, create, update, watch.
func (m *MemoryStore) CallCounts() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.calls)
}

// Deliver lets the delayed writes take effect, in order.
func (m *MemoryStore) ApplyDelayed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, write := range m.late {
		write()
	}
	m.late = nil
}

// Get implements Store.
func (m *MemoryStore) Get(ctx context.Context, key string) (o Object, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, "get"); err != nil {
		return o, err
	}
	o, ok := m.read(key, m.faults.StaleRevision)
	if !ok {
		return o, fmt.Errorf("%s: %w", key, ErrNotFound)
	}
	return o, nil
}

// List implements Store.
func (m *MemoryStore) List(ctx context.Context, prefix, after string) (found []Object, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, "list"); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		o, ok := m.read(key, m.faults.StaleRevision)
		if !ok || key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		if found = append(found, o); len(found) == m.PageSize {
			break
		}
	}
	return found, nil
}

// Create implements Store.
func (m *MemoryStore) Create(ctx context.Context, key string, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, "create"); err != nil {
		return 0, err
	}
	return m.lossy(func() (uint64, error) {
		if current, ok := m.read(key, 0); ok {
			return 0, &ConflictError{Current: current}
		}
		return m.write(key, value)
	})
}

// Update implements Store.
func (m *MemoryStore) Update(ctx context.Context, key string, version uint64, value []byte) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, "update"); err != nil {
		return 0, err
	}
	return m.lossy(func() (uint64, error) {
		current, ok := m.read(key, 0)
		if !ok {
			return 0, fmt.Errorf("%s: %w", key, ErrNotFound)
		}
		if current.Version != version {
			return 0, &ConflictError{Current: current}
		}
		return m.write(key, value)
	})
}

// Watch implements Store.
func (m *MemoryStore) Watch(ctx context.Context, prefix string, after uint64, until time.Time) (c WatchResult, err error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin(ctx, "watch"); err != nil {
		return c, err
	}
	for {
		if m.faults.Down {
			return c, ErrUnavailable
		}
		if c = m.since(prefix, after); len(c.Objects) > 0 {
			return c, nil
		}
		if m.changed == nil {
			m.changed = make(chan struct{})
		}
		changed := m.changed
		m.mu.Unlock()
		ended := false
		select {
		case <-ctx.Done():
			err, ended = fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err()), true
		case <-timer.C:
			ended = true
		case <-changed:
		}
		m.mu.Lock()
		if ended {
			return c, err
		}
	}
}

func (m *MemoryStore) since(prefix string, after uint64) WatchResult {
	c := WatchResult{Revision: m.revision}
	for _, key := range slices.Sorted(maps.Keys(m.objects)) {
		if o, ok := m.read(key, 0); ok && o.Version > after && strings.HasPrefix(key, prefix) {
			c.Objects = append(c.Objects, o)
		}
	}
	return c
}

func (m *MemoryStore) begin(ctx context.Context, kind string) error {
	if m.calls == nil {
		m.calls = map[string]int{}
	}
	m.calls[kind]++
	if m.faults.Down {
		return ErrUnavailable
	}
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return nil
}

// lossy performs a write and loses its answer when a fault switch says so.
func (m *MemoryStore) lossy(write func() (uint64, error)) (uint64, error) {
	f := &m.faults
	switch {
	case f.LostRequests > 0:
		f.LostRequests--
		return 0, ErrUnknownOutcome
	case f.DelayedWrites > 0:
		f.DelayedWrites--
		m.late = append(m.late, func() { _, _ = write() })
		return 0, ErrUnknownOutcome
	case f.LostResponses > 0:
		f.LostResponses--
		_, _ = write()
		return 0, ErrUnknownOutcome
	}
	return write()
}

// read returns the newest object at key, not newer than the revision at if that
// is not 0.
func (m *MemoryStore) read(key string, at uint64) (Object, bool) {
	for _, o := range slices.Backward(m.objects[key]) {
		if at == 0 || o.Version <= at {
			return o, true
		}
	}
	return Object{}, false
}

func (m *MemoryStore) write(key string, value []byte) (uint64, error) {
	if len(value) > loader.MaxTicketBytes {
		return 0, fmt.Errorf("%w: %d bytes are too many", ErrUnavailable, len(value))
	}
	if m.objects == nil {
		m.objects = map[string][]Object{}
	}
	m.revision++
	o := Object{Key: key, Version: m.revision, Value: slices.Clone(value)}
	m.objects[key] = append(m.objects[key], o)
	m.wake()
	return m.revision, nil
}

// wake lets the waiting watches look again.
func (m *MemoryStore) wake() {
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
}
