package soaker

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
)

// garbageFaults join the others if the soak has them.
var garbageFaults = []fault{
	{"upstream sends no answers", false, upstreamFault(upstreamGarbage)},
	{"store sends no answers", true, storeFault(storeGarbage)},
}

// garbageHeads are no heads of final HTTP responses.
var garbageHeads = []string{
	"HTTP/1.1 000 OK", "HTTP/1.1 099 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/2.0 200 OK",
	"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK",
	"HTTP/1.1 200 O\x00K", "HTTP/1.1 200 OK\r\nO dd: v", "HTTP/1.1 200 OK\r\nOdd : v", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\nOdd: v",
}

// endless are bytes that are no answer: the first are sent once, the others until the
// connection is closed.
var endless = [][2]string{
	{"HTTP/1.1 200 OK\r\n", "Pad: x\r\n"},
	{"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 4096)},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	{"", "\x00no answer"},
}

// writeGarbage writes, in place of an answer, bytes that are none. The key chooses which.
// They have the fields of an answer to the request with the given ID, signed for the body.
func writeGarbage(w http.ResponseWriter, key, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	const body = "garbage"
	n := int(crc32.ChecksumIEEE([]byte(key)) % uint32(len(garbageHeads)+len(endless)))
	if n < len(garbageHeads) {
		_, _ = fmt.Fprintf(conn, "%s\r\nX-Request-Id: %s\r\nX-Response-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s",
			garbageHeads[n], id, stamp(id, body), len(body), body)
		return
	}
	e := endless[n-len(garbageHeads)]
	for _, err = io.WriteString(conn, e[0]); err == nil; {
		_, err = io.WriteString(conn, e[1])
	}
}
