package local

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
)

// sendRaw sends bytes over a new connection and returns the status and the error code of the response. After a text that
// ends with a zero byte it closes the sending side.
func sendRaw(t *testing.T, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", testSystem.Addresses()[0])
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	if tcpConn, ok := conn.(*net.TCPConn); ok && strings.HasSuffix(text, "\x00") {
		require.NoError(t, tcpConn.CloseWrite())
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	var body openai.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return resp.StatusCode, body.Error.Code
}

// completionRequest returns a raw completion request with the body and the extra header lines.
func completionRequest(body string, extra ...string) string {
	lines := append([]string{
		"POST /v1/chat/completions HTTP/1.1", "Host: a", "Authorization: Bearer " + testSystem.Keys["survey"],
		"Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)),
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

const validBody = `{"model":"girth","max_tokens":2,"messages":[{"role":"user","content":"a"}]}`

// Guards against invalid, truncated, oversized or slow requests that get an untyped error, block a connection or stop the
// daemon: a valid request at the end must still succeed.
func TestInvalidRequestsGetTypedErrors(t *testing.T) {
	chunkedHead := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testSystem.Keys["survey"] + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		status     int
		code       string
	}{
		{"malformed JSON", completionRequest(`{"model":`), 400, "invalidRequest"},
		{"unknown model", completionRequest(strings.Replace(validBody, "girth", "none", 1)), 404, "modelNotFound"},
		{"declared body too large", completionRequest(strings.Repeat("a", 65<<10)), 413, "bodyTooLarge"},
		{"chunked body too large", chunkedHead + "11000\r\n" + strings.Repeat("a", 0x11000) + "\r\n0\r\n\r\n", 413, "bodyTooLarge"},
		{"truncated chunked body", chunkedHead + "10\r\nab", 400, "invalidRequest"},
		{"duplicate authorization", completionRequest(validBody, "Authorization: Bearer other"), 400, "invalidRequest"},
		{"duplicate idempotency key", completionRequest(validBody, "Idempotency-Key: a", "Idempotency-Key: b"), 400, "invalidRequest"},
		{"conflicting lengths", completionRequest(validBody, "Content-Length: 3"), 400, ""},
		{"malformed timeout", completionRequest(validBody, "X-Request-Timeout-Ms: soon"), 400, "invalidRequest"},
		{"idempotency key too long", completionRequest(validBody, "Idempotency-Key: "+strings.Repeat("k", 300)), 400, "invalidRequest"},
		{"basic authorization", strings.Replace(completionRequest(validBody), "Bearer", "Basic", 1), 401, "keyInvalid"},
		{"wrong method", "GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, "invalidRequest"},
		{"unknown path", "GET /none HTTP/1.1\r\nHost: a\r\n\r\n", 404, "routeNotFound"},
		{"slow body", strings.Replace(completionRequest(validBody), validBody, `{"model"`, 1), 400, "invalidRequest"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, code := sendRaw(t, tc.text)
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.code, code)
		})
	}
	status, _ := sendRaw(t, completionRequest(validBody))
	require.Equal(t, http.StatusOK, status, "the daemon still serves valid requests")
}

// A caller that never completes its header must not hold a connection: the daemon closes it after HeaderTimeoutMs.
func TestSlowHeaderClosesConnection(t *testing.T) {
	conn, err := net.Dial("tcp", testSystem.Addresses()[0])
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Slow:")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the daemon closes the connection")
}
