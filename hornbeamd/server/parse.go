package server

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"net/netip"

	"github.com/valyala/fasthttp"

	"hornbeamstream.example/hornbeamd/forwarder"
)

// maxAttempt bounds the number that a caller may give to a repeat.
const maxAttempt = 1 << 20

// fields are the values of a request's Horn headers.
type fields struct {
	id, deadline, attempt, priority, sent, block, entry, hop []byte
}

// collect reads the headers in one pass. A header that is given twice has no
// certain meaning.
func collect(h *fasthttp.RequestHeader) (f fields, ok bool) {
	ok = true
	for k, v := range h.All() {
		if !bytes.HasPrefix(k, []byte("Horn-")) {
			continue
		}
		var p *[]byte
		switch string(k) {
		case forwarder.HeaderID:
			p = &f.id
		case forwarder.HeaderDeadline:
			p = &f.deadline
		case forwarder.HeaderAttempt:
			p = &f.attempt
		case forwarder.HeaderPriority:
			p = &f.priority
		case forwarder.HeaderSent:
			p = &f.sent
		case forwarder.HeaderBlock:
			p = &f.block
		case forwarder.HeaderEntry:
			p = &f.entry
		case forwarder.HeaderHop:
			p = &f.hop
		default:
			continue
		}
		if *p != nil {
			ok = false
		}
		*p = v
	}
	return f, ok
}

// parse fills in from a request whose path follows "/s/".
func (s *Server) parse(ctx *fasthttp.RequestCtx, rest []byte, in *inbound) reply {
	r := &in.Request
	name := rest
	if i := bytes.IndexAny(rest, "/?"); i >= 0 {
		name = rest[:i]
	}
	if r.Service = r.Table.Services[string(name)]; r.Service == nil {
		return reply{fasthttp.StatusNotFound, "The service is unknown."}
	}
	if !visible(rest) || !visible(ctx.Method()) {
		return reply{fasthttp.StatusBadRequest, "The method or the path has characters that are not visible ASCII."}
	}
	f, ok := collect(&ctx.Request.Header)
	if !ok {
		return reply{fasthttp.StatusBadRequest, "A Horn header is given more than once."}
	}
	sentence := check(&f, r)
	if sentence == "" {
		sentence = s.locate(ctx, &f, r)
	}
	if sentence != "" {
		return reply{fasthttp.StatusBadRequest, sentence}
	}
	if r.ID == nil {
		r.ID = in.newID()
	}
	return reply{}
}

// visible tells whether all bytes are visible ASCII. Others could split the
// request line differently at the upstream.
func visible(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// check fills r from the headers. It returns what is wrong with them.
func check(f *fields, r *forwarder.Request) string {
	if f.id != nil {
		if forwarder.ValidateID(f.id) != nil {
			return "Horn-Id is not 1 to 64 visible ASCII characters."
		}
		r.ID, r.IDFromCaller = f.id, true
	}
	if !checkTimes(f, r) {
		return "Horn-Deadline or Horn-Sent is not a time in Unix ms."
	}
	r.Attempt = 1
	if f.attempt != nil {
		n, err := forwarder.ParseNumber(f.attempt, maxAttempt)
		if err != nil || n == 0 {
			return "Horn-Attempt is not a number from 1."
		}
		r.Attempt = int(n)
	}
	r.Priority = r.Service.Priority
	if f.priority != nil {
		n, err := forwarder.ParseNumber(f.priority, 9)
		if err != nil {
			return "Horn-Priority is not a number from 0 to 9."
		}
		r.Priority = max(r.Priority, int(n))
	}
	return ""
}

// checkTimes bounds the deadline by the service's limit, for hops too: a request
// is admitted after its arrival, so that it ends before its part can move, even
// if the origin's limit or clock differs. A caller that gives no
// time of its first send is taken to have set the deadline by the limit.
func checkTimes(f *fields, r *forwarder.Request) bool {
	r.Deadline = r.Arrived + r.Service.Timeout
	if f.deadline != nil {
		t, err := forwarder.ParseMillis(f.deadline)
		if err != nil {
			return false
		}
		r.Deadline = min(r.Deadline, t)
		r.FirstSent = min(max(t-r.Service.Timeout, 0), r.Arrived)
	}
	if f.sent != nil {
		t, err := forwarder.ParseMillis(f.sent)
		if err != nil {
			return false
		}
		r.FirstSent = t
	}
	return true
}

// locate finds the caller's block and region. Only another instance may name
// the block.
func (s *Server) locate(ctx *fasthttp.RequestCtx, f *fields, r *forwarder.Request) string {
	r.Block = source(ctx)
	if r.Hop {
		if _, err := forwarder.ParseNumber(f.hop, 1<<63-1); err != nil {
			return "Horn-Hop is not a version."
		}
		if r.Table.Region != string(f.entry) {
			r.EntryRegion = string(f.entry)
		} else {
			r.EntryRegion = r.Table.Region
		}
		if f.block != nil {
			block, err := netip.ParseAddr(string(f.block))
			if err != nil {
				return "Horn-Block is not an IP address."
			}
			r.Block = block
		}
	}
	if s.cfg.Resolver != nil {
		r.HomeRegion = s.cfg.Resolver.HomeRegion(r.Block)
	}
	return ""
}

// newID makes an id for a request that has none.
func (in *inbound) newID() []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	hex.Encode(in.id[:], b[:])
	return in.id[:]
}
