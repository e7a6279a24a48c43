package executor

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"hornbeamstream.example/core/hornpb"
	"hornbeamstream.example/core/hornpb/hornpbconnect"
)

// startRawPeer starts an instance that calls respond when it has read the header of a call.
func startRawPeer(t *testing.T, respond func(c *net.TCPConn)) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					respond(c.(*net.TCPConn))
				}
				_ = c.Close()
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

// post sends a call of the given size and returns the body of a successful answer.
func post(url string, size int) (body string, err error) {
	client := newPeerClient()
	defer client.CloseIdleConnections()
	res, err := client.Post(url, "application/proto", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// TestPeerResetsCall guards against taking a part of an answer for a whole one if the
// instance resets the connection while the call is being written.
func TestPeerResetsCall(t *testing.T) {
	const calls = 200
	url := startRawPeer(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\n\r\npart")
		_ = c.SetLinger(0)
		_ = c.Close()
	})
	for range calls {
		_, err := post(url, maxMessageBytes)
		is.New(t).True(err != nil)
	}
}

// TestPeerWithoutFinalResponse guards against taking for an answer of another instance what
// is no final HTTP response.
func TestPeerWithoutFinalResponse(t *testing.T) {
	for line, want := range map[string]bool{
		"HTTP/1.1 200 OK": true, "HTTP/1.1 103 X\r\nA: b\r\n\r\nHTTP/1.1 200 OK": true, "HTTP/1.1 200 OK\r\nOdd: v\r\n w": true,
		"HTTP/1.1 000 OK": false, "HTTP/1.1 099 X": false, "HTTP/1.1 600 X": false, "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 000 OK": false,
		"HTTP/1.1 200 OK\r\nO dd: v": false, "HTTP/1.1 200 OK\r\nOdd : v": false,
		"HTTP/1.1 200 OK\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\nOdd: v": false,
		"HTTP/1.1 103 X\r\nO dd: v\r\n\r\nHTTP/1.1 200 OK":                                    false,
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			url := startRawPeer(t, func(c *net.TCPConn) {
				_, _ = io.WriteString(c, line+"\r\nContent-Type: application/proto\r\nContent-Length: 0\r\n\r\n")
			})
			client := newPeerClient()
			defer client.CloseIdleConnections()
			_, err := hornpbconnect.NewPeerClient(client, url).Vote(t.Context(), connect.NewRequest(&hornpb.VoteRequest{}))
			is.Equal(err == nil, want)
		})
	}
}
