package emulator

import (
	"bytes"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// sumSize is the length of the checksum at the end of a body, in hexadecimal.
const sumSize = 16

// Answer returns the body that an upstream answers with: a line with service,
// request id, checksum of the request's body and size, filler up to the size
// and the checksum of all of it. The body is longer than size if its parts need
// that.
func Answer(service, id string, request []byte, size int) []byte {
	line := headline(service, id, request, size)
	size = max(size, len(line)+sumSize)
	b := make([]byte, 0, size)
	b = append(b, line...)
	seed := xxhash.Sum64String(id)
	filler := fmt.Appendf(nil, "%016x.%016x\n", seed, ^seed)
	for len(b)+len(filler) <= size-sumSize {
		b = append(b, filler...)
	}
	b = append(b, filler[:size-sumSize-len(b)]...)
	return fmt.Appendf(b, "%016x", xxhash.Sum64(b))
}

// Verify returns an error unless the body is the whole answer to the request.
func Verify(body []byte, service, id string, request []byte) error {
	line, _, ok := bytes.Cut(body, []byte("\n"))
	if !ok || len(body) < len(line)+sumSize {
		return fmt.Errorf("answer of %d bytes has no first line", len(body))
	}
	var size int
	if _, err := fmt.Sscanf(string(line[bytes.LastIndexByte(line, ' ')+1:]), "%d", &size); err != nil {
		return fmt.Errorf("answer has no size: %w", err)
	}
	if want := headline(service, id, request, size); !bytes.HasPrefix(body, want) {
		return fmt.Errorf("answer begins with %q, want %q", line, want)
	}
	data := body[:len(body)-sumSize]
	if want := fmt.Sprintf("%016x", xxhash.Sum64(data)); want != string(body[len(data):]) {
		return fmt.Errorf("answer of %d bytes has a wrong checksum", len(body))
	}
	if len(body) < size {
		return fmt.Errorf("answer has %d of %d bytes", len(body), size)
	}
	return nil
}

func headline(service, id string, request []byte, size int) []byte {
	return fmt.Appendf(nil, "horn %s %s %016x %d\n", service, id, xxhash.Sum64(request), size)
}
