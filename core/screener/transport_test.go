package screener

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// startServer starts a server that calls respond for each request and reads no body itself.
func startServer(t *testing.T, respond func(c net.Conn, r *http.Request)) (url string) {
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
				defer func() { _ = c.Close() }()
				br := bufio.NewReader(c)
				for r, err := http.ReadRequest(br); err == nil; r, err = http.ReadRequest(br) {
					respond(c, r)
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

func get(client *http.Client, url string) (string, error) {
	res, err := client.Get(url)
	if err != nil {
		return "", err
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	return string(data), err
}

// TestTransport sends a request on a connection that has been used, whose response is not a
// final one.
func TestTransport(t *testing.T) {
	for _, line := range []string{"HTTP/1.1 000 X", "HTTP/1.1 101 X", "HTTP/1.1 600 X", "HTTP/1.1 200 OK\r\nO dd: v", "HTTP/1.1 103 X\r\nOdd : v\r\n\r\nHTTP/1.1 200 OK"} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			url := startServer(t, func(c net.Conn, r *http.Request) {
				begin := "HTTP/1.1 200 OK"
				if r.URL.Path == "/odd" {
					begin = line
				}
				_, _ = io.WriteString(c, begin+"\r\nContent-Length: 4\r\n\r\nbody")
			})
			client := &http.Client{Transport: Transport(&http.Transport{DialContext: new(net.Dialer).DialContext})}
			defer client.CloseIdleConnections()
			for range 2 {
				body, err := get(client, url)
				is.NoErr(err)
				is.Equal(body, "body")
			}
			_, err := get(client, url+"/odd")
			is.True(errors.Is(err, ErrNotFinal))
		})
	}
}

// TestTransportEarlyResponse has a server that sends the body of its response while the
// request is being written.
func TestTransportEarlyResponse(t *testing.T) {
	is := is.New(t)
	url := startServer(t, func(c net.Conn, r *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 32\r\n\r\n")
		for range 8 {
			_, _ = io.CopyN(io.Discard, r.Body, 1<<20)
			_, _ = io.WriteString(c, "\r\n: ")
		}
		_, _ = io.Copy(io.Discard, r.Body)
	})
	client := &http.Client{Transport: Transport(&http.Transport{DialContext: new(net.Dialer).DialContext})}
	defer client.CloseIdleConnections()
	for range 4 {
		res, err := client.Post(url, "", strings.NewReader(strings.Repeat("x", 9<<20)))
		is.NoErr(err)
		data, err := io.ReadAll(res.Body)
		is.NoErr(err)
		is.Equal(string(data), strings.Repeat("\r\n: ", 8))
		_ = res.Body.Close()
	}
}
