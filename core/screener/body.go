package screener

import (
	"bufio"
	"io"
	"net/http/httputil"

	"github.com/valyala/fasthttp"
)

// HasBody reports whether a response with the given header has a body. Head is set for the
// response to a HEAD request.
func HasBody(h *fasthttp.ResponseHeader, head bool) bool {
	status := h.StatusCode()
	return !head && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified
}

// NewBody returns a reader of the body of a response, whose header must have been read from r.
// It ends with io.EOF only where the body is complete. Its own errors are
// io.ErrUnexpectedEOF and those that match ErrNotFinal. Length is the Content-Length of the
// response, -1 for a chunked body, or less for one that ends with the connection. The fields
// of a trailer section are added to trailer.
func NewBody(r *bufio.Reader, length int, trailer *fasthttp.ResponseHeader) io.Reader {
	switch {
	case length >= 0:
		return &sizedBody{io.LimitedReader{R: r, N: int64(length)}}
	case length == -1:
		return &chunkedBody{chunks: httputil.NewChunkedReader(r), reader: r, trailer: trailer}
	}
	return r
}

// sizedBody is a body of a known length.
type sizedBody struct{ io.LimitedReader }

func (b *sizedBody) Read(p []byte) (n int, err error) {
	n, err = b.LimitedReader.Read(p)
	if err == io.EOF && b.N > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body of chunks, which a trailer section ends.
type chunkedBody struct {
	chunks  io.Reader
	reader  *bufio.Reader
	trailer *fasthttp.ResponseHeader
	err     error
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	n, b.err = b.chunks.Read(p)
	if b.err == io.EOF {
		b.err = b.readTrailer()
	}
	return n, b.err
}

// readTrailer reads the trailer section and returns io.EOF.
func (b *chunkedBody) readTrailer() error {
	s := scanner{state: lineStart, lastCRLF: true, anyCRLF: true}
	err := s.peek(b.reader)
	if err == nil {
		err = b.trailer.ReadTrailer(b.reader)
	}
	switch err {
	case nil:
		return io.EOF
	case io.EOF:
		return io.ErrUnexpectedEOF
	}
	return err
}
