// Package trimmer identifies the hop-by-hop header fields, which a proxy must not
// forward, and writes header fields.
package trimmer

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// IsHopByHop reports whether a request header field is hop-by-hop. The key is in
// the canonical form of fasthttp. Content-Length is included, because a proxy
// frames a forwarded body anew.
func IsHopByHop(key []byte) bool {
	switch string(key) {
	case fasthttp.HeaderConnection, fasthttp.HeaderContentLength, fasthttp.HeaderTransferEncoding,
		fasthttp.HeaderKeepAlive, fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderUpgrade,
		fasthttp.HeaderExpect, fasthttp.HeaderProxyAuthorization, fasthttp.HeaderProxyAuthenticate,
		fasthttp.HeaderProxyConnection:
		return true
	}
	return false
}

// IsConnectionOption reports whether the value of a Connection field lists key.
func IsConnectionOption(connection, key []byte) bool {
	for part := range bytes.SplitSeq(connection, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(part), key) {
			return true
		}
	}
	return false
}

// AppendField appends a header field in HTTP/1.1 wire format.
func AppendField(b, key, value []byte) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
