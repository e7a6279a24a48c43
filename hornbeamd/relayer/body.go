package relayer

import (
	"errors"
	"io"
)

var errResponseTooLarge = errors.New("response body too large")

// body is a response body that is being read.
type body struct {
	byteBudget *byteBudget
	data       []byte
	// reserved is the number of bytes reserved from byteBudget.
	reserved int64
	// maxSize is the largest size that the buffer needs.
	maxSize int
}

// read reads r until EOF. The size is the length of the body, or negative if
// that is unknown. It calls check after each read and returns its error, if
// any.
func (b *body) read(r io.Reader, size int, check func() error) error {
	if size > maxResponseBytes {
		return errResponseTooLarge
	}
	b.maxSize = maxResponseBytes
	if size >= 0 {
		// One more byte, so that the last read finds the end.
		b.maxSize = size + 1
	}
	if err := b.resize(min(max(size, 512)+1, smallBytes)); err != nil {
		return err
	}
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

// grow doubles the capacity, but not beyond the announced size.
func (b *body) grow() error {
	size := cap(b.data)
	if size >= maxResponseBytes {
		return errResponseTooLarge
	}
	return b.resize(max(min(2*size, b.maxSize), size+1))
}

// resize reserves memory for the given capacity and sets it.
func (b *body) resize(size int) error {
	if !b.byteBudget.reserve(int64(size)-b.reserved, int64(size), nil) {
		return errBudgetExceeded
	}
	b.reserved = int64(size)
	b.data = append(make([]byte, 0, size), b.data...)
	return nil
}

// discard drops the data and releases the reserved bytes.
func (b *body) discard() {
	if b.reserved > 0 {
		b.byteBudget.release(b.reserved)
	}
	b.data, b.reserved = nil, 0
}
