package httpc

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

const benchAnswer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Gooseberryway-Attempt-Id: 9c41d07be2a35f68\r\n" +
	"X-Gooseberryway-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Gooseberryway-Weight-Versions: 3\r\n" +
	"Date: Sun, 06 Dec 2026 22:00:00 GMT\r\nContent-Length: 9\r\n\r\nan answer"

// BenchmarkDo sends requests with a body on one connection without sockets and reads the answers.
func BenchmarkDo(b *testing.B) {
	p := &Pool{Dial: func(context.Context, string, string) (net.Conn, error) {
		local, remote := net.Pipe()
		go func() {
			r := bufio.NewReader(remote)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if _, err := io.WriteString(remote, benchAnswer); err != nil {
					return
				}
			}
		}()
		return local, nil
	}}
	defer p.Close()
	b.ReportAllocs()
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://upstream.example/", strings.NewReader("a body"))
		if err != nil {
			b.Fatal(err)
		}
		resp, err := p.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// BenchmarkHeadScanner scans the head of a response.
func BenchmarkHeadScanner(b *testing.B) {
	head := []byte(strings.TrimSuffix(benchAnswer, "an answer"))
	b.ReportAllocs()
	b.SetBytes(int64(len(head)))
	for b.Loop() {
		var s headScanner
		if _, err := s.scan(head); err != nil || !s.ended() {
			b.Fatal(err)
		}
	}
}
