package intake

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestScannerFindsEndOfHead(t *testing.T) {
	for _, c := range []struct {
		in          string
		end, lines  int64
		body        int64
		description string
	}{
		{"GET / HTTP/1.1\r\nHost: h\r\n\r\nbody", 27, 3, 0, "no body"},
		{"GET / HTTP/1.1\nHost: h\n\n", 24, 3, 0, "bare line feeds"},
		{"\r\n\r\nPOST / HTTP/1.1\r\ncontent-LENGTH: 7 \r\n\r\n", 43, 5, 7, "empty lines first"},
		{"POST / HTTP/1.1\r\nContent-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n", 66, 4, unknownLength, "chunked"},
		{"POST / HTTP/1.1\r\nContent-Length: -7\r\n\r\n", 39, 3, unknownLength, "malformed length"},
		{"GET / HTTP/1.1\r\n\r\r\n\r\n", 21, 3, 0, "a line of one CR isn't empty"},
	} {
		t.Run(c.description, func(t *testing.T) {
			var s headScanner
			require.Equal(t, int(c.end), s.scan([]byte(c.in)))
			require.True(t, s.ended)
			require.Equal(t, c.lines, s.lines)
			require.Equal(t, c.end, s.bytes)
			require.Equal(t, c.body, bodyLength([]byte(c.in[:c.end])))
		})
	}
}

// FuzzHeadScanner checks that the scanner finds the same end however the bytes arrive, and counts what comes before it.
func FuzzHeadScanner(f *testing.F) {
	for _, seed := range []string{
		"", "\r\n\r\n\r\n", "GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nab:\r\ncd:\n\nx", "GET / HTTP/1.1\r\na: b\r\n c\r\n\td\r\n\r\n",
		"GET / HTTP/1.1\r\n!#$%: \x80\xff\x00\r\n\r\n", "\r\r\n", "GET / HTTP/1.1\r\n\r\r\n\r\n", strings.Repeat("a:\n", 100),
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;e=v;\r\n", "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
	} {
		f.Add([]byte(seed), 1)
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, in []byte, part int) {
		var whole, parts headScanner
		end := whole.scan(in)
		require.LessOrEqual(t, end, len(in))
		require.Equal(t, int64(end), whole.bytes)
		require.Equal(t, int64(bytes.Count(in[:end], []byte{'\n'})), whole.lines)
		n := 0
		for chunk := max(1, part%64); n < len(in) && !parts.ended; {
			n += parts.scan(in[n:min(n+chunk, len(in))])
		}
		require.Equal(t, whole, parts)
		require.GreaterOrEqual(t, bodyLength(in[:end]), int64(unknownLength))
	})
}

func BenchmarkScanOrdinaryHead(b *testing.B) {
	head := []byte("POST /lookup/x HTTP/1.1\r\nHost: h.example\r\n")
	for i := range 12 {
		head = fmt.Appendf(head, "X-Field-%d: value of an ordinary length\r\n", i)
	}
	head = append(head, "Content-Length: 10\r\n\r\n"...)
	b.ReportAllocs()
	for b.Loop() {
		var s headScanner
		s.scan(head)
		bodyLength(head)
	}
}
