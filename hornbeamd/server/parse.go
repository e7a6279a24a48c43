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

// maxAttempt bounds the attempt number in a request.
const maxAttempt = 1 << 20

// hornHeaders holds the values of a request's Horn-* headers.
type hornHeaders struct {
	id, deadline, attempt, priority, sent, block, entry, hop []byte
}

// readHornHeaders reads the headers in one pass. It reports false if a header is
// given twice, because its value would be ambiguous.
func readHornHeaders(h *fasthttp.RequestHeader) (f hornHeaders, ok bool) {
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

// parse fills in from a request, where rest is the path after "/s/".
func (s *Server) parse(ctx *fasthttp.RequestCtx, rest []byte, in *pooledRequest) rejection {
	r := &in.Request
	name := rest
	if i := bytes.IndexAny(rest, "/?"); i >= 0 {
		name = rest[:i]
	}
	if r.Service = r.Table.Services[string(name)]; r.Service == nil {
		return rejection{fasthttp.StatusNotFound, "The service is unknown."}
	}
	if !isVisibleASCII(rest) || !isVisibleASCII(ctx.Method()) {
		return rejection{fasthttp.StatusBadRequest, "The method or the path has characters that are not visible ASCII."}
	}
	f, ok := readHornHeaders(&ctx.Request.Header)
	if !ok {
		return rejection{fasthttp.StatusBadRequest, "A Horn header is given more than once."}
	}
	sentence := parseHeaders(&f, r)
	if sentence == "" {
		sentence = s.resolveCaller(ctx, &f, r)
	}
	if sentence != "" {
		return rejection{fasthttp.StatusBadRequest, sentence}
	}
	if r.ID == nil {
		r.ID = in.generateID()
	}
	return rejection{}
}

// isVisibleASCII reports whether all bytes are visible ASCII. With other bytes, an
// upstream could parse the request line differently.
func isVisibleASCII(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// parseHeaders fills r from the headers. It returns a message if one is invalid.
func parseHeaders(f *hornHeaders, r *forwarder.Request) string {
	if f.id != nil {
		if forwarder.ValidateID(f.id) != nil {
			return "Horn-Id is not 1 to 64 visible ASCII characters."
		}
		r.ID, r.IDFromCaller = f.id, true
	}
	if !parseTimes(f, r) {
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

// parseTimes bounds the deadline by the service's limit, for hops too: a request
// is admitted after its arrival, so that it ends before its part can move, even if
// the origin's limit or clock differs. Without Horn-Sent, the time of the first
// attempt is taken to be the limit before the deadline.
func parseTimes(f *hornHeaders, r *forwarder.Request) bool {
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

// resolveCaller sets the caller's block and region. Only another instance may
// override the block.
func (s *Server) resolveCaller(ctx *fasthttp.RequestCtx, f *hornHeaders, r *forwarder.Request) string {
	r.Block = remoteAddr(ctx)
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

// generateID returns a random ID for a request without one.
func (in *pooledRequest) generateID() []byte {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(b[8:], rand.Uint64())
	hex.Encode(in.id[:], b[:])
	return in.id[:]
}
