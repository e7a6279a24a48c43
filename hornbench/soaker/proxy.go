package soaker

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says what a proxy does with bytes.
type proxyMode string

const (
	proxyPass proxyMode = "pass"
	// proxyDelay holds bytes up for delayTime.
	proxyDelay proxyMode = "delay"
	// proxySilent takes bytes and passes nothing on; open connections stay silent
	// for good.
	proxySilent proxyMode = "silent"
	// proxyDeaf passes nothing from the server back.
	proxyDeaf proxyMode = "deaf"
	// proxyReset ends connections, open and new.
	proxyReset proxyMode = "reset"
)

const delayTime = 80 * time.Millisecond

// Proxy passes TCP connections on over the loopback interface and breaks them as
// told.
type Proxy struct {
	target   string
	listener net.Listener

	mu   sync.Mutex
	mode proxyMode
	// latency is how long all bytes take that are passed on.
	latency time.Duration
	conns   map[*link]bool
	// disturbed has the times in which not all passed as it came.
	disturbed []span
}

// link is a connection through the proxy.
type link struct {
	client, server net.Conn
	// dead links pass nothing on any more.
	dead bool
}

func startProxy(address, target string) (*Proxy, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: ln, mode: proxyPass, conns: map[*link]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes what happens to open and new connections.
func (p *Proxy) SetMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if n := len(p.disturbed); n > 0 && p.disturbed[n-1].to.IsZero() {
		p.disturbed[n-1].to = now
	}
	if p.mode = m; m != proxyPass {
		p.disturbed = append(p.disturbed, span{from: now})
	}
	for l := range p.conns {
		switch m {
		case proxySilent:
			l.dead = true
		case proxyReset:
			l.close()
		}
	}
}

// setLatency sets how long all bytes take that are passed on.
func (p *Proxy) setLatency(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency = d
}

// passed tells whether all passed as it came in a span of time.
func (p *Proxy) passed(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !overlap(p.disturbed, from, to)
}

// Close stops listening and ends all connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.SetMode(proxyReset)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(client net.Conn) {
	if p.current() == proxyReset {
		(&link{client: client}).close()
		return
	}
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		(&link{client: client}).close()
		return
	}
	l := &link{client: client, server: server}
	p.mu.Lock()
	p.conns[l] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copy(l, server, client, false) })
	group.Go(func() { p.copy(l, client, server, true) })
	group.Wait()
	l.close()
	p.mu.Lock()
	delete(p.conns, l)
	p.mu.Unlock()
}

func (p *Proxy) current() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// copy passes bytes on in one direction until the connection ends.
func (p *Proxy) copy(l *link, to, from net.Conn, back bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		p.mu.Lock()
		mode, dead, latency := p.mode, l.dead, p.latency
		p.mu.Unlock()
		time.Sleep(latency)
		if mode == proxyDelay {
			time.Sleep(delayTime)
		}
		drop := dead || mode == proxySilent || mode == proxyDeaf && back
		if n > 0 && !drop {
			if _, werr := to.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		if half, ok := to.(*net.TCPConn); ok && err == io.EOF && !drop {
			_ = half.CloseWrite()
		} else if !drop {
			l.close()
		}
		return
	}
}

// close resets both ends.
func (l *link) close() {
	for _, c := range []net.Conn{l.client, l.server} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
		}
	}
}
