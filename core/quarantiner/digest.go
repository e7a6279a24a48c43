package quarantiner

import (
	"fmt"
	"strconv"
)

// Digest identifies what a request asks for, on whose behalf. It is never 0.
type Digest uint64

// String returns the digest in hexadecimal notation, as in logs and in the store.
func (d Digest) String() string { return fmt.Sprintf("%016x", uint64(d)) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || n == 0 || len(text) != 16 {
		return fmt.Errorf("digest %.20q is not a hexadecimal number of 16 digits above 0", text)
	}
	*d = Digest(n)
	return nil
}
