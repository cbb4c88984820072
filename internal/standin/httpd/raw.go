package httpd

import (
	"fmt"
	"io"
	"iter"
	"net/http"
	"strings"
)

// Raw answers requests with bytes as they are, such as parts of responses.
type Raw struct {
	// Answer returns the answer to a request, and whether its connection stays open after it. reused says that the connection has
	// served another request.
	Answer func(r *http.Request, reused bool) (answer string, keepOpen bool)
}

// ServeHTTP implements http.Handler.
func (h *Raw) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	for reused := false; ; reused = true {
		answer, keepOpen := h.Answer(r, reused)
		if _, err = io.WriteString(c, answer); err != nil || !keepOpen {
			return
		}
		if r, err = http.ReadRequest(buffered.Reader); err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
	}
}

// interimResponses come before a final one and say nothing of it.
const interimResponses = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nX-Step: 1\r\n\r\n" +
	"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\nContent-Length: 0\r\n\r\n"

// RawResponse is a response with interim ones before it, as bytes.
type RawResponse struct {
	Framing, Text string
	// HeadBytes is the length of the interim responses and the head.
	HeadBytes int
	// shortest is the length of the shortest part to test. From whole on a part can't be told from a whole response.
	shortest, whole int
}

// RawResponses returns a response in each framing of its body. status is the status line without the version, lines are those of its header.
func RawResponses(status, body string, lines ...string) []RawResponse {
	head := func(more ...string) string {
		return "HTTP/1.1 " + status + "\r\n" + strings.Join(append(append(more, lines...), "", ""), "\r\n")
	}
	unframed, length := head(), head(fmt.Sprintf("Content-Length: %d", len(body)))
	trailers := fmt.Sprintf("%x\r\n%s\r\n0\r\nX-Sum: 1\r\n\r\n", len(body), body)
	all := []RawResponse{
		newRawResponse("length", length, body, true),
		newRawResponse("chunks and trailers", head("Transfer-Encoding: chunked", "Trailer: X-Sum"), trailers, true),
		newRawResponse("end of connection", unframed, body, false),
		newRawResponse("LF lines", strings.ReplaceAll(length, "\r\n", "\n"), body, true),
		newRawResponse("LF lines, end of connection", strings.ReplaceAll(unframed, "\r\n", "\n"), body, false),
	}
	for i := range all[1:] {
		// Parts of the interim responses alone are those of the first response.
		all[1+i].shortest = len(interimResponses)
	}
	return all
}

func newRawResponse(framing, head, body string, isFramed bool) RawResponse {
	r := RawResponse{Framing: framing, Text: interimResponses + head + body, HeadBytes: len(interimResponses) + len(head)}
	r.whole = r.HeadBytes
	if isFramed {
		r.whole = len(r.Text)
	}
	return r
}

// IsFramed reports whether the response itself tells where its body ends, so that its connection can stay open.
func (r *RawResponse) IsFramed() bool { return r.whole == len(r.Text) }

// Parts returns the parts that must not pass for whole responses, by their lengths.
func (r *RawResponse) Parts() iter.Seq2[int, string] {
	return func(yield func(int, string) bool) {
		for n := r.shortest; n < r.whole && yield(n, r.Text[:n]); n++ {
		}
	}
}

// BodyParts returns the parts with a whole head that lack only some of a body that ends with the connection, by their lengths.
func (r *RawResponse) BodyParts() iter.Seq2[int, string] {
	return func(yield func(int, string) bool) {
		for n := r.whole; n < len(r.Text) && yield(n, r.Text[:n]); n++ {
		}
	}
}
