package connector

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestKeepAliveTime guards against a dead connection to the store that is noticed too
// late for changes to be in force in time: the kernel counts whole seconds.
func TestKeepAliveTime(t *testing.T) {
	const deadConnTime = 2 * time.Second
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	conn, err := dial(ln.Addr().String(), time.Second)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) {
			value, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, name)
		}))
		is.NoErr(err)
		return value
	}
	seconds := option(syscall.TCP_KEEPIDLE) + option(syscall.TCP_KEEPCNT)*option(syscall.TCP_KEEPINTVL)
	is.True(time.Duration(seconds)*time.Second <= deadConnTime)
}
