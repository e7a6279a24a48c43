package relayer

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// defaultMaxBufferedBytes is the default of Config.MaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
	// uncountedBytes is the part of each response body that is not counted, so
	// that small responses still pass when large ones have used up the budget.
	uncountedBytes = 64 << 10
)

var (
	errBudgetExceeded   = errors.New("too many response bytes buffered")
	errResponseTooLarge = errors.New("response body too large")
)

// byteBudget limits the bytes of response bodies that are buffered at the same
// time.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// reserve adds n bytes to the bytes in use. It reports whether they are within
// the limit; otherwise nothing is reserved.
func (b *byteBudget) reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// body is a response body that is being read.
type body struct {
	byteBudget *byteBudget
	data       []byte
	// reserved is the number of bytes reserved from byteBudget.
	reserved int64
}

// read reads r until EOF. The size is the length of the body, or negative if
// that is unknown. It calls check after each read and returns its error, if
// any.
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

// grow doubles the capacity.
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

// discard drops the data and releases the reserved bytes.
func (b *body) discard() {
	if b.reserved > 0 {
		b.byteBudget.release(b.reserved)
	}
	b.data, b.reserved = nil, 0
}
