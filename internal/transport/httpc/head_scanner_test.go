package httpc

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// scanHeads scans bytes in pieces and returns the length of the heads, or -1 if the final one isn't complete.
func scanHeads(data []byte, piece int) (int, error) {
	var s headScanner
	scanned := 0
	for len(data) > 0 && !s.ended() {
		n, err := s.scan(data[:min(piece, len(data))])
		if err != nil {
			return 0, err
		}
		data, scanned = data[n:], scanned+n
	}
	if !s.ended() {
		return -1, nil
	}
	return scanned, nil
}

func TestHeadScanner(t *testing.T) {
	const line = "HTTP/1.1 200 OK\r\n"
	for head, want := range map[string]MalformedReason{
		line + "\r\n":                              "",
		line + "X: 1\r\nY:\r\n\r\n":                "",
		line + "!#$%&'*+-.^_`|~9z: \t\xff\r\n\r\n": "",
		"HTTP/1.1 200 OK\nX: 1\n\n":                "",
		"HTTP/1.0 200\r\n\r\n":                     "",
		"HTTP/1.1 599 \r\n\r\n":                    "",
		"HTTP/1.1 101 X\r\n\r\n":                   "",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nL: 1\r\n\r\n" + line + "\r\n": "",
		line + "Transfer-Encoding: chunked\r\n\r\n":                                   "",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: 1\r\n\r\n":                            "",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":                       MalformedCoding,
		"HTTP/1.0 200 OK\r\ntRANSFER-eNCODING:\r\n\r\n":                               MalformedCoding,
		"HTTP/2.0 200 OK\r\n\r\n":                                                     MalformedVersion,
		"HTTP/1.2 200 OK\r\n\r\n":                                                     MalformedVersion,
		"HTTP/1.10 200 OK\r\n\r\n":                                                    MalformedVersion,
		"http/1.1 200 OK\r\n\r\n":                                                     MalformedVersion,
		"\r\n" + line + "\r\n":                                                        MalformedVersion,
		"HTTP/1.1\t200 OK\r\n\r\n":                                                    MalformedVersion,
		"HTTP/1.1  200 OK\r\n\r\n":                                                    MalformedStatus,
		"HTTP/1.1 20 OK\r\n\r\n":                                                      MalformedStatus,
		"HTTP/1.1 2000 OK\r\n\r\n":                                                    MalformedStatus,
		"HTTP/1.1 200\tOK\r\n\r\n":                                                    MalformedStatus,
		"HTTP/1.1 000 OK\r\n\r\n":                                                     MalformedStatus,
		"HTTP/1.1 099 OK\r\n\r\n":                                                     MalformedStatus,
		"HTTP/1.1 600 OK\r\n\r\n":                                                     MalformedStatus,
		"HTTP/1.1 -20 OK\r\n\r\n":                                                     MalformedStatus,
		"HTTP/1.1 200 O\x00K\r\n\r\n":                                                 MalformedLine,
		"HTTP/1.1 200 OK\rX: 1\r\n\r\n":                                               MalformedLine,
		line + "X: \x7f\r\n\r\n":                                                      MalformedLine,
		line + "X: a\r\r\n\r\n":                                                       MalformedLine,
		line + "X: 1\r\n\rY: 1\r\n\r\n":                                               MalformedLine,
		line + ": 1\r\n\r\n":                                                          MalformedName,
		line + "X\r\n\r\n":                                                            MalformedName,
		line + "X Y: 1\r\n\r\n":                                                       MalformedName,
		line + "X : 1\r\n\r\n":                                                        MalformedName,
		line + "X\x00: 1\r\n\r\n":                                                     MalformedName,
		line + "X\xc3\xa9: 1\r\n\r\n":                                                 MalformedName,
		line + " X: 1\r\n\r\n":                                                        MalformedFold,
		line + "X: 1\r\n\tY: 1\r\n\r\n":                                               MalformedFold,
		"HTTP/1.1 100 Continue\r\nX Y: 1\r\n\r\n" + line + "\r\n":                     MalformedName,
	} {
		for _, piece := range []int{1, 2, 7, len(head) + 4} {
			n, err := scanHeads([]byte(head+"body"), piece)
			if want == "" {
				require.NoError(t, err, "%q", head)
				require.Equal(t, len(head), n, "%q", head)
				continue
			}
			malformed, ok := errors.AsType[*MalformedResponseError](err)
			require.True(t, ok, "%q", head)
			require.Equal(t, want, malformed.Reason, "%q", head)
		}
		if want == "" {
			for n := range head {
				got, err := scanHeads([]byte(head[:n]), n+1)
				require.NoError(t, err, "%q", head[:n])
				require.Equal(t, -1, got, "%q", head[:n])
			}
		}
	}
}

// FuzzHeadScanner compares the heads that are accepted with what net/http reads from them.
func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: 1\r\nx-a: \t2 \r\n\r\nbody"), uint8(3))
	f.Add([]byte("HTTP/1.0 204\nB:\n\n"), uint8(1))
	for _, fields := range []string{
		strings.Repeat("a:\n", 100), "ab:\r\ncd:e\r\n", "a: b\r\n c\r\n\td\r\n", "!#$%&'*+: \x80\xff\t\xc0\r\n", strings.Repeat("n", 5000) + ": v\r\n", "\r\n\r\n", "\r\r\n",
	} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n"+fields+"\r\n"), uint8(7))
		f.Add([]byte("HTTP/1.1 200 OK\r\n"+fields), uint8(0))
	}
	f.Add([]byte("\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, piece uint8) {
		length, err := scanHeads(data, int(piece)+1)
		if err != nil || length < 0 {
			return
		}
		heads := string(data[:length])
		r := bufio.NewReaderSize(bytes.NewReader(data), max(len(data), 16))
		for {
			head, want := cutHead(&heads)
			for _, name := range []string{"Content-Length", "Transfer-Encoding", "Trailer", "Pragma"} {
				if want[name] != nil {
					t.Skip("net/http reads more into it:", name)
				}
			}
			resp, err := http.ReadResponse(r, nil)
			require.NoError(t, err, "%q", head)
			require.Equal(t, want, resp.Header, "%q", head)
			require.True(t, strings.HasPrefix(head, resp.Proto+" "+resp.Status[:3]), "%q", head)
			if heads == "" {
				break
			}
		}
		rest := make([]byte, r.Buffered())
		_, _ = r.Read(rest)
		require.Equal(t, string(data[length:]), string(rest))
	})
}

// cutHead removes the first head and returns it with its fields.
func cutHead(heads *string) (string, http.Header) {
	fields := http.Header{}
	head := *heads
	for first := true; ; first = false {
		line, rest, _ := strings.Cut(*heads, "\n")
		*heads = rest
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			return head[:len(head)-len(rest)], fields
		}
		if !first {
			name, value, _ := strings.Cut(line, ":")
			fields.Add(name, strings.Trim(value, " \t"))
		}
	}
}
