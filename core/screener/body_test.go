package screener

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

func ExampleNewBody() {
	r := bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nDigest: x\r\n\r\n"))
	var h fasthttp.ResponseHeader
	if err := Await(r); err != nil || h.Read(r) != nil {
		return
	}
	data, err := io.ReadAll(NewBody(r, h.ContentLength(), &h))
	fmt.Println(string(data), err, string(h.Peek("Digest")))
	// Output: body <nil> x
}

// TestBody checks that a body ends without an error only where it is complete, and what is
// left unread behind it.
func TestBody(t *testing.T) {
	for _, c := range []struct {
		text   string
		length int
		err    error
		rest   string
	}{
		{"body", 4, nil, ""},
		{"bodyHTTP/1.1", 4, nil, "HTTP/1.1"},
		{"body", -2, nil, ""},
		{"bod", 4, io.ErrUnexpectedEOF, ""},
		{"4\r\nbody\r\n0\r\n\r\nHTTP/1.1", -1, nil, "HTTP/1.1"},
		{"2;a=b\r\nbo\r\n2\r\ndy\r\n0\r\nA: b\r\n c\r\n\r\nHTTP/1.1", -1, nil, "HTTP/1.1"},
		{"4\r\nbody\r\n", -1, io.ErrUnexpectedEOF, ""},
		{"4\r\nbody\r\n0\r\n", -1, io.ErrUnexpectedEOF, ""},
		{"4\r\nbody\r\n0\r\nA: b\r\n", -1, io.ErrUnexpectedEOF, ""},
		{"4\r\nbody\r\n0\r\n\n\r\n", -1, ErrNotFinal, "\n\r\n"},
		{"4\r\nbody\r\n0\r\nA : b\r\n\r\n", -1, ErrNotFinal, "A : b\r\n\r\n"},
		{"4\r\nbody\r\n0\r\n A: b\r\n\r\n", -1, ErrNotFinal, " A: b\r\n\r\n"},
	} {
		t.Run(fmt.Sprintf("%d %q", c.length, c.text), func(t *testing.T) {
			is := is.New(t)
			r := bufio.NewReader(strings.NewReader(c.text))
			var h fasthttp.ResponseHeader
			body := NewBody(r, c.length, &h)
			data, err := io.ReadAll(body)
			is.True(strings.HasPrefix("body", string(data)))
			is.Equal(string(data) == "body", c.err == nil || len(data) == 4)
			is.True(errors.Is(err, c.err))
			_, again := body.Read(make([]byte, 1))
			is.Equal(again == io.EOF, c.err == nil) // an error lasts
			rest, _ := io.ReadAll(r)
			if c.err != io.ErrUnexpectedEOF {
				is.Equal(string(rest), c.rest)
			}
		})
	}
}
