package screener

import (
	"net"
	"sync"
)

// NewConn returns a connection to c for a client that parses responses by itself and sends
// the next request only after a response. Reading fails with ErrNotFinal where the response
// to the last request is not a final one.
func NewConn(c net.Conn) net.Conn { return serialConn{&conn{Conn: c}} }

// Dial opens a TCP connection like d and returns it as NewConn does.
func Dial(d net.Dialer, address string) (net.Conn, error) {
	c, err := d.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewConn(c), nil
}

// conn is a connection that examines what is read until the header of a final response ends,
// and again from the next call of expect on.
type conn struct {
	net.Conn

	mu       sync.Mutex
	response response
}

// expect is called before a request is sent.
func (c *conn) expect() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.response = response{}
}

func (c *conn) Read(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if serr := c.response.scan(b[:n]); serr != nil {
		return 0, serr
	}
	return n, err
}

// serialConn is a connection of a client that writes nothing after it has begun to read a
// response.
type serialConn struct{ *conn }

func (c serialConn) Write(b []byte) (int, error) {
	c.expect()
	return c.Conn.Write(b)
}

// response examines what is received after a request.
type response struct {
	scanner scanner
	// interim is the number of interim responses.
	interim int
	// final is set behind the header of a final response.
	final bool
}

// scan examines the next bytes. It passes over a body.
func (r *response) scan(b []byte) error {
	for len(b) > 0 && !r.final {
		n, err := r.scanner.scan(b)
		if err != nil {
			return err
		}
		b = b[n:]
		switch {
		case r.scanner.state != ended:
		case !r.scanner.interim:
			r.final = true
		default:
			if r.interim++; r.interim >= maxInterim {
				return errInterim
			}
			r.scanner = scanner{}
		}
	}
	return nil
}
