// Package collector reads bodies whose senders may not end them into a limited amount of
// memory.
package collector

import (
	"errors"
	"io"

	"hornbeamstream.example/core/limiter"
)

var (
	// ErrTooLarge means that a body is larger than MaxBytes.
	ErrTooLarge = errors.New("response body too large")
	// ErrBudgetExceeded means that the budget has too few bytes left for a body.
	ErrBudgetExceeded = errors.New("too many bytes are held at the same time")
)

// firstBytes is the first size of the buffer for a body of unknown length.
const firstBytes = 512

// Budget limits the bytes of all bodies that are held at the same time.
type Budget interface {
	// Reserve reserves n bytes more for a body that then has the given size. It reports
	// whether that is within the limit.
	Reserve(n, size int64) bool
	// Release takes back the reservation of n bytes.
	Release(n int64)
}

// Body is a body that is being read. Its budget must be set.
type Body struct {
	Budget Budget
	// MaxBytes limits the size of the body.
	MaxBytes int
	// Data is what has been read.
	Data []byte
	// Reserved is the number of bytes reserved from the budget.
	Reserved int64
	// maxSize is the largest size that the buffer needs.
	maxSize int
}

// Read reads r until EOF. The size is the length of the body, or negative if that is
// unknown. It calls check after each read and returns its error, if any. Its own errors are
// ErrTooLarge and ErrBudgetExceeded. The caller must call Discard in any case, unless it
// releases the reserved bytes itself.
func (b *Body) Read(r io.Reader, size int, check func() error) error {
	if size > b.MaxBytes {
		return ErrTooLarge
	}
	b.maxSize = b.MaxBytes
	if size >= 0 {
		// One more byte, so that the last read finds the end.
		b.maxSize = size + 1
	}
	if err := b.resize(min(max(size, firstBytes)+1, limiter.SmallBytes)); err != nil {
		return err
	}
	for {
		if len(b.Data) == cap(b.Data) {
			if err := b.grow(); err != nil {
				return err
			}
		}
		n, err := r.Read(b.Data[len(b.Data):cap(b.Data)])
		b.Data = b.Data[:len(b.Data)+n]
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

// grow doubles the capacity, but not beyond the announced size.
func (b *Body) grow() error {
	size := cap(b.Data)
	if size >= b.MaxBytes {
		return ErrTooLarge
	}
	return b.resize(max(min(2*size, b.maxSize), size+1))
}

// resize reserves memory for the given capacity and sets it.
func (b *Body) resize(size int) error {
	if !b.Budget.Reserve(int64(size)-b.Reserved, int64(size)) {
		return ErrBudgetExceeded
	}
	b.Reserved = int64(size)
	b.Data = append(make([]byte, 0, size), b.Data...)
	return nil
}

// Discard drops the data and releases the reserved bytes.
func (b *Body) Discard() {
	if b.Reserved > 0 {
		b.Budget.Release(b.Reserved)
	}
	b.Data, b.Reserved = nil, 0
}
