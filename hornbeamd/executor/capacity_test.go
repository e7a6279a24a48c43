package executor

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"hornbeamstream.example/core/connector"
	"hornbeamstream.example/core/granter"
	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/hornpb/hornpbconnect"
	"hornbeamstream.example/core/loader"
	"hornbeamstream.example/core/reducer"
)

// deploymentSize describes the deployment that a benchmark generates.
type deploymentSize struct{ members, domains, upstreams, slots, blocks int }

// designSize is the size that the system is designed for.
var designSize = deploymentSize{members: 58, domains: 11, upstreams: 41, slots: 320, blocks: 120_000}

func (p deploymentSize) member(domain, i int) granter.Member {
	at := fmt.Sprintf("10.%d.%d.%d", 20+domain, i/250, i%250+1)
	return granter.Member{
		Name: fmt.Sprintf("horn-d%d-%d", domain, i), Incarnation: 1_790_000_000_000,
		Front: at + ":7000", Peer: at + ":7001", Data: at + ":7002", Admin: at + ":7003",
		Domain: fmt.Sprintf("d%d", domain),
	}
}

func (p deploymentSize) view(domain int) granter.View {
	v := granter.View{Domain: fmt.Sprintf("d%d", domain), Epoch: 12, Sequence: 5000}
	for i := range p.members {
		v.Members = append(v.Members, p.member(domain, i))
	}
	v.Leader = v.Members[0].Name
	next := 0
	for u := range p.upstreams {
		for slot := 0; slot < p.slots; slot += granter.MaxPartSlots {
			part := granter.Part{Upstream: fmt.Sprintf("lookup-d%d-%d", domain, u), Index: slot / granter.MaxPartSlots, Slots: min(granter.MaxPartSlots, p.slots-slot)}
			v.Holdings = append(v.Holdings, granter.Holding{Part: part, Holder: v.Members[next%p.members].Name})
			next++
		}
	}
	return v
}

func (p deploymentSize) views() []granter.View {
	views := make([]granter.View, p.domains)
	for d := range views {
		views[d] = p.view(d)
	}
	return views
}

func (p deploymentSize) config() loader.State {
	c := loader.State{
		Version: 7, Regions: map[string]loader.Region{}, Domains: map[string]loader.Domain{},
		Services:  map[string]loader.Service{"lookup": {TimeoutMillis: 2000}},
		Upstreams: map[string]loader.Upstream{}, Blocks: map[string]loader.Blocks{},
		ModifiedVersions: map[string]uint64{},
	}
	for d := range p.domains {
		c.Regions[fmt.Sprintf("r%d", d%4)] = loader.Region{}
		c.Domains[fmt.Sprintf("d%d", d)] = loader.Domain{Region: fmt.Sprintf("r%d", d%4), Instances: p.members}
		for u := range p.upstreams {
			key := fmt.Sprintf("lookup-d%d-%d", d, u)
			c.Upstreams[key] = loader.Upstream{Service: "lookup", Domain: fmt.Sprintf("d%d", d), Slots: p.slots, MaxConns: 330, Address: fmt.Sprintf("127.2.%d.%d:8000", d, u+1)}
			c.ModifiedVersions["upstream/"+key] = 1
		}
	}
	for i := range p.blocks {
		name := fmt.Sprint(i / 30_000)
		if _, ok := c.Blocks[name]; !ok {
			c.Blocks[name] = loader.Blocks{Regions: map[string][]string{}}
			c.ModifiedVersions["blocks/"+name] = 1
		}
		r := fmt.Sprintf("r%d", i%4)
		c.Blocks[name].Regions[r] = append(c.Blocks[name].Regions[r], fmt.Sprintf("%d.%d.%d.0/24", 10+i>>16, i>>8&255, i&255))
	}
	return c
}

// exchange returns a heartbeat and its response in the steady state.
func (p deploymentSize) exchange() (q reducer.Request, r reducer.Response) {
	own := p.view(0)
	q = reducer.Request{From: own.Members[1], Epoch: 12, Seen: 90_000, Config: 50_000, Clock: 1_790_000_000_000 << 16}
	r = reducer.Response{
		From: own.Members[0], Leader: own.Leader, Epoch: 12, Valid: 3 * time.Second, Sequence: 90_001,
		Config: 50_000, Clock: 1_790_000_000_000 << 16,
	}
	for _, h := range own.Holdings {
		if h.Holder == q.From.Name {
			q.Held = append(q.Held, h.Part)
		}
	}
	r.Parts = q.Held
	for d := range p.domains {
		q.Views = append(q.Views, reducer.ViewVersion{Domain: fmt.Sprintf("d%d", d), Epoch: 12, Sequence: 5000})
	}
	for i := range 4 {
		r.Quotas = append(r.Quotas, granter.Quota{Name: fmt.Sprintf("link/r0/r%d", i), Rate: 1e6})
	}
	return q, r
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return countingConn{conn, c}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.listener.out.Add(int64(n))
	return n, err
}

func startServer(b *testing.B, h http.Handler) (*countingListener, string) {
	b.Helper()
	s := httptest.NewUnstartedServer(h)
	c := &countingListener{Listener: s.Listener}
	s.Listener = c
	s.Start()
	b.Cleanup(s.Close)
	return c, s.URL
}

type peerStub struct {
	hornpbconnect.UnimplementedPeerHandler
	response *hornpb.ExchangeResponse
}

func (p peerStub) Exchange(context.Context, *connect.Request[hornpb.ExchangeRequest]) (*connect.Response[hornpb.ExchangeResponse], error) {
	return connect.NewResponse(p.response), nil
}

func (p peerStub) Vote(context.Context, *connect.Request[hornpb.VoteRequest]) (*connect.Response[hornpb.VoteResponse], error) {
	return connect.NewResponse(&hornpb.VoteResponse{Granted: true, Epoch: 12, ValidMs: 3500, Voter: "horn-d0-1"}), nil
}

// BenchmarkExchange reports the bytes that a heartbeat sends over its connection,
// in the steady state and with the view of one domain in the response.
func BenchmarkExchange(b *testing.B) {
	size := func(members, domains, upstreams, slots int) deploymentSize {
		return deploymentSize{members, domains, upstreams, slots, 0}
	}
	for _, p := range []deploymentSize{
		size(2, 11, 41, 320),
		size(4, 11, 41, 320),
		size(15, 11, 41, 320),
		size(58, 11, 41, 320),
		size(58, 1, 41, 320),
		size(58, 22, 41, 320),
		size(58, 11, 41, 64),
		size(58, 11, 41, 1000),
		size(58, 11, 82, 320),
	} {
		for _, changed := range []bool{false, true} {
			name := fmt.Sprintf("members=%d/domains=%d/upstreams=%d/slots=%d/view=%v", p.members, p.domains, p.upstreams, p.slots, changed)
			b.Run(name, func(b *testing.B) { benchmarkExchange(b, p, changed) })
		}
	}
}

func benchmarkExchange(b *testing.B, p deploymentSize, changed bool) {
	q, r := p.exchange()
	if changed {
		r.Views = []granter.View{p.view(0)}
	}
	response := responseToProto(r)
	count, url := startServer(b, peerMux(peerStub{response: response}))
	client := newPeerClient()
	defer client.CloseIdleConnections()
	peer := hornpbconnect.NewPeerClient(client, url)
	call := func() {
		ctx, cancel := context.WithTimeout(b.Context(), peerTimeout)
		defer cancel()
		m, err := peer.Exchange(ctx, connect.NewRequest(requestToProto(q)))
		if err != nil {
			b.Fatal(err)
		}
		responseFromProto(m.Msg)
	}
	call()
	in, out := count.in.Load(), count.out.Load()
	n := 0
	begin := cpuTime()
	for b.Loop() {
		call()
		n++
	}
	b.ReportMetric(float64((cpuTime()-begin).Microseconds())/float64(n), "cpu-µs")
	b.ReportMetric(float64(count.in.Load()-in)/float64(n), "bytes/request")
	b.ReportMetric(float64(count.out.Load()-out)/float64(n), "bytes/response")
	b.ReportMetric(float64(proto.Size(requestToProto(q))), "message/request")
	b.ReportMetric(float64(proto.Size(response)), "message/response")
}

// BenchmarkVote reports the bytes of a vote request and its response.
func BenchmarkVote(b *testing.B) {
	count, url := startServer(b, peerMux(peerStub{}))
	client := newPeerClient()
	defer client.CloseIdleConnections()
	peer := hornpbconnect.NewPeerClient(client, url)
	n := 0
	for b.Loop() {
		ctx, cancel := context.WithTimeout(b.Context(), peerTimeout)
		if _, err := peer.Vote(ctx, connect.NewRequest(&hornpb.VoteRequest{Domain: "d0", Epoch: 12, Candidate: "horn-d0-0"})); err != nil {
			b.Fatal(err)
		}
		cancel()
		n++
	}
	b.ReportMetric(float64(count.in.Load()+count.out.Load())/float64(n), "bytes/call")
}

// BenchmarkPlatform reports the bytes of the periodic platform calls in the
// steady state, and of a health check.
func BenchmarkPlatform(b *testing.B) {
	for _, members := range []int{2, 8, 15, 58} {
		p := deploymentSize{members: members, domains: 11, upstreams: 41, slots: 320}
		value, _ := json.Marshal(p.lease())
		object, _ := json.Marshal(map[string]any{"key": "lease/d0", "version": 900_000, "value": json.RawMessage(value)})
		count, url := startServer(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			switch {
			case r.Method == http.MethodPut:
				_, _ = w.Write([]byte(`{"version":900001}`))
			case r.URL.Path == "/v1/watch":
				_, _ = w.Write([]byte(`{"revision":900001,"objects":[]}`))
			case r.URL.Path == "/health":
				_, _ = w.Write([]byte(`{"state":"ready","load":0.25,"slots":320,"busy":80}`))
			default:
				_, _ = w.Write(object)
			}
		}))
		client, err := connector.New(url)
		if err != nil {
			b.Fatal(err)
		}
		defer client.Close()
		calls := map[string]func(context.Context) error{
			"read": func(ctx context.Context) error { _, err := client.Get(ctx, "lease/d0"); return err },
			"write": func(ctx context.Context) error {
				_, err := client.Update(ctx, "lease/d0", 900_000, value)
				return err
			},
			"watch": func(ctx context.Context) error {
				_, err := client.Watch(ctx, "ticket/", 900_000, time.Now().Add(time.Second))
				return err
			},
			"probe": func(context.Context) error { _, err := fetchHealth(url[len("http://"):]); return err },
		}
		for kind, call := range calls {
			b.Run(fmt.Sprintf("members=%d/%s", members, kind), func(b *testing.B) {
				in, out, n := count.in.Load(), count.out.Load(), 0
				for b.Loop() {
					if err := call(b.Context()); err != nil {
						b.Fatal(err)
					}
					n++
				}
				b.ReportMetric(float64(count.in.Load()-in)/float64(n), "bytes/sent")
				b.ReportMetric(float64(count.out.Load()-out)/float64(n), "bytes/received")
				b.ReportMetric(float64(len(value)), "bytes/lease")
			})
		}
	}
}

// lease returns a lease whose reserve is a tenth of the slots, spread over the
// members as the leader does.
func (p deploymentSize) lease() granter.Lease {
	v := p.view(0)
	l := granter.Lease{Domain: "d0", Epoch: 12, Leader: v.Leader, Members: v.Members, Nonce: 1 << 63}
	for i := range min(p.members, granter.MaxElectors) {
		l.Electors = append(l.Electors, v.Members[i].Name)
	}
	for i := range p.members {
		l.Reserve = append(l.Reserve, granter.Reserve{Member: v.Members[i].Name, Upstream: fmt.Sprintf("lookup-d0-%d", i%p.upstreams), Slots: 8})
	}
	return l
}

// BenchmarkPublish builds the tables after a new grant, which comes with every
// heartbeat, and after a change of one view.
func BenchmarkPublish(b *testing.B) {
	for _, p := range []deploymentSize{{2, 6, 6, 6, 1_200}, {15, 11, 41, 320, 12_000}, {58, 11, 41, 320, 12_000}, designSize} {
		for _, changed := range []string{"grant", "view"} {
			b.Run(fmt.Sprintf("members=%d/blocks=%d/%s", p.members, p.blocks, changed), func(b *testing.B) {
				x := New(Config{Clock: NewClock(), Self: p.member(0, 1), Region: "r0"})
				published := reducer.Publish{Config: p.config(), Views: p.views()}
				x.publish(published)
				b.ReportAllocs()
				for b.Loop() {
					published.Holdings.Deadline = time.Now().Add(time.Second)
					published.Holdings.Version++
					if changed == "view" {
						published.Views = p.views()
						published.Views[0].Sequence = published.Holdings.Version + 5000
					}
					x.publish(published)
				}
			})
		}
	}
}

// BenchmarkMemory reports the heap retained by each part of the state.
func BenchmarkMemory(b *testing.B) {
	p := designSize
	var config loader.State
	var views []granter.View
	var x *Executor
	var tickets []loader.Ticket
	for range b.N {
		before := heapBytes()
		config = p.config()
		configured := heapBytes()
		views = p.views()
		viewed := heapBytes()
		x = New(Config{Clock: NewClock(), Self: p.member(0, 1), Region: "r0"})
		x.publish(reducer.Publish{Config: config, Views: views})
		built := heapBytes()
		for i := range 20 {
			views = p.views()
			views[0].Sequence += uint64(i) + 1
			x.publish(reducer.Publish{Config: config, Views: views})
		}
		var all runtime.MemStats
		runtime.ReadMemStats(&all)
		b.ReportMetric(float64(all.Sys)/1e6, "MB/process")
		for i := range 512 {
			tickets = append(tickets, loader.Ticket{
				Number: uint64(i), Author: "operator", Reason: "maintenance of the power supply", Nonce: fmt.Sprint(i),
				Objects: map[string]json.RawMessage{fmt.Sprintf("drain/upstream/lookup-%d", i): json.RawMessage(`{"reason":"maintenance"}`)},
			})
		}
		full := heapBytes()
		b.ReportMetric(float64(configured-before)/1e6, "MB/config")
		b.ReportMetric(float64(configured-before)/float64(p.blocks), "B/block")
		b.ReportMetric(float64(viewed-configured)/float64(p.domains), "B/view")
		b.ReportMetric(float64(built-viewed)/1e6, "MB/tables")
		b.ReportMetric(float64(full-built)/512, "B/ticket")
		snapshot, _ := loader.EncodeState(config)
		b.ReportMetric(float64(len(snapshot)), "bytes/snapshot")
		b.ReportMetric(float64(gzipSize(snapshot)), "bytes/compressed")
		ticket, _ := loader.EncodeTicket(tickets[100])
		b.ReportMetric(float64(len(ticket)), "bytes/ticket")
		blocks, _ := json.Marshal(config.Blocks["0"])
		b.ReportMetric(float64(len(blocks)), "bytes/blocks")
		b.ReportMetric(float64(gzipSize(blocks)), "bytes/compressedblocks")
		config.Blocks = nil
		snapshot, _ = loader.EncodeState(config)
		b.ReportMetric(float64(len(snapshot)), "bytes/withoutblocks")
	}
	runtime.KeepAlive(x)
	runtime.KeepAlive(views)
	runtime.KeepAlive(tickets)
}

// gzipSize returns the size of data compressed with gzip, as connect does.
func gzipSize(data []byte) int {
	var buffer bytes.Buffer
	w := gzip.NewWriter(&buffer)
	_, _ = w.Write(data)
	_ = w.Close()
	return buffer.Len()
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuTime returns the CPU time of this process, which runs both ends of a call.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
