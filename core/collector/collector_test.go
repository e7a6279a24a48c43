package collector

import (
	"bytes"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"hornbeamstream.example/core/limiter"
)

// TestRead reads bodies of various sizes in pieces.
func TestRead(t *testing.T) {
	is := is.New(t)
	const maxBytes = 16 << 20
	budget := &limiter.ByteBudget{Limit: 1 << 20}
	for _, size := range []int{0, 1, 511, 512, 513, limiter.SmallBytes - 1, limiter.SmallBytes, limiter.SmallBytes + 1, 300 << 10} {
		for _, known := range []int{-1, size} {
			b := &Body{Budget: budget, MaxBytes: maxBytes}
			data := bytes.Repeat([]byte("abcde"), size/5+1)[:size]
			is.NoErr(b.Read(iotest.HalfReader(bytes.NewReader(data)), known, func() error { return nil }))
			is.True(bytes.Equal(b.Data, data))
			b.Discard()
			is.Equal(budget.Used(), int64(0))
		}
	}
	b := &Body{Budget: budget, MaxBytes: maxBytes}
	is.Equal(b.Read(strings.NewReader(strings.Repeat("x", 4<<20)), -1, func() error { return nil }), ErrBudgetExceeded)
	is.Equal(b.Read(strings.NewReader(""), maxBytes+1, nil), ErrTooLarge)
}
