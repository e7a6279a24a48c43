// Package trimmer tells which header fields concern one connection only and so
// are not passed on.
package trimmer

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// HopByHop tells whether a field of a request concerns one connection only. The
// key is in the form that the codec gives it. Content-Length is among them,
// because whoever passes a body on frames it anew.
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

// Named tells whether the value of a Connection field names the field key.
func IsConnectionOption(connection, key []byte) bool {
	for part := range bytes.SplitSeq(connection, []byte{','}) {
		if bytes.EqualFold(bytes.TrimSpace(part), key) {
			return true
		}
	}
	return false
}

// AppendField appends one field in its form on the wire.
func AppendField(b, key, value []byte) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
