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

// raw sends bytes over a new connection and returns the status and the code of the answer.
func raw(t *testing.T, text string) (int, string) {
	t.Helper()
	conn, err := net.Dial("tcp", shared.Addresses()[0])
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = io.WriteString(conn, text)
	require.NoError(t, err)
	if half, ok := conn.(*net.TCPConn); ok && strings.HasSuffix(text, "\x00") {
		require.NoError(t, half.CloseWrite())
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer resp.Body.Close()
	var body openai.ErrorBody
	_ = json.NewDecoder(resp.Body).Decode(&body)
	return resp.StatusCode, body.Error.Code
}

// post returns a request with the body, whose header ends with the extra lines.
func post(body string, extra ...string) string {
	lines := append([]string{
		"POST /v1/chat/completions HTTP/1.1", "Host: a", "Authorization: Bearer " + shared.Keys["survey"],
		"Content-Type: application/json", fmt.Sprintf("Content-Length: %d", len(body)),
	}, extra...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n" + body
}

const goodBody = `{"model":"girth","max_tokens":2,"messages":[{"role":"user","content":"a"}]}`

func TestBadInputGetsATypedErrorAndTheDaemonServesOn(t *testing.T) {
	chunkedHead := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + shared.Keys["survey"] + "\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		status     int
		code       string
	}{
		{"malformed JSON", post(`{"model":`), 400, "invalidRequest"},
		{"wrong model", post(strings.Replace(goodBody, "girth", "none", 1)), 404, "modelNotFound"},
		{"declared body too large", post(strings.Repeat("a", 65<<10)), 413, "bodyTooLarge"},
		{"chunked body too large", chunkedHead + "11000\r\n" + strings.Repeat("a", 0x11000) + "\r\n0\r\n\r\n", 413, "bodyTooLarge"},
		{"truncated chunked body", chunkedHead + "10\r\nab", 400, "invalidRequest"},
		{"duplicate authorization", post(goodBody, "Authorization: Bearer other"), 400, "invalidRequest"},
		{"duplicate idempotency key", post(goodBody, "Idempotency-Key: a", "Idempotency-Key: b"), 400, "invalidRequest"},
		{"conflicting lengths", post(goodBody, "Content-Length: 3"), 400, ""},
		{"wrong timeout", post(goodBody, "X-Request-Timeout-Ms: soon"), 400, "invalidRequest"},
		{"long idempotency key", post(goodBody, "Idempotency-Key: "+strings.Repeat("k", 300)), 400, "invalidRequest"},
		{"not a bearer key", strings.Replace(post(goodBody), "Bearer", "Basic", 1), 401, "keyInvalid"},
		{"wrong method", "GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, "invalidRequest"},
		{"unknown path", "GET /none HTTP/1.1\r\nHost: a\r\n\r\n", 404, "routeNotFound"},
		{"slow body", strings.Replace(post(goodBody), goodBody, `{"model"`, 1), 400, "invalidRequest"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			status, code := raw(t, tc.text)
			require.Equal(t, tc.status, status)
			require.Equal(t, tc.code, code)
		})
	}
	status, _ := raw(t, post(goodBody))
	require.Equal(t, http.StatusOK, status, "the daemon serves on")
}

func TestASlowHeaderIsCutOff(t *testing.T) {
	conn, err := net.Dial("tcp", shared.Addresses()[0])
	require.NoError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Slow:")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err = conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "the daemon closes the connection")
}
