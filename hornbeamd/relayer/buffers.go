package relayer

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// buffersSize bounds the bytes of answers in hand if nothing else is set.
	defaultMaxBufferedBytes = 64 << 20
	// freeSize is the part of each answer that is not counted, so that small
	// answers pass when large ones have filled the memory.
	uncountedBytes = 64 << 10
)

var (
	errBudgetExceeded   = errors.New("answers in hand fill the memory")
	errResponseTooLarge = errors.New("the answer is too large")
)

// buffers counts the bytes of answers in hand.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take counts more bytes. It reports whether they are within the limit.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// body is an answer's body while it is read.
type body struct {
	byteBudget *byteBudget
	data       []byte
	// taken is the number of bytes that were counted.
	reserved int64
}

// read reads a body to its end. Size is its length if that is known. Check is
// called from time to time and ends the reading with its error.
func (b *body) read(r io.Reader, size int, check func() error) error {
	if size > maxResponseBytes {
		return errResponseTooLarge
	}
	b.data = make([]byte, 0, min(max(size, 512)+1, uncountedBytes))
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := r.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
		if err := check(); err != nil {
			return err
		}
	}
}

// grow doubles the room.
func (b *body) grow() error {
	size := cap(b.data)
	if size >= maxResponseBytes {
		return errResponseTooLarge
	}
	if counted := int64(2*size - uncountedBytes); counted > b.reserved {
		if !b.byteBudget.reserve(counted - b.reserved) {
			return errBudgetExceeded
		}
		b.reserved = counted
	}
	b.data = append(make([]byte, 0, 2*size), b.data...)
	return nil
}

// drop gives back what was counted.
func (b *body) discard() {
	if b.reserved > 0 {
		b.byteBudget.release(b.reserved)
	}
	b.data, b.reserved = nil, 0
}
