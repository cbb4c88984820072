package entry

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that callers take for the whole one, or a request that ends without a reason, as an upstream has answered
// with a status that can't be that of a final answer.
func TestStatusThatIsNotFinalIsNotForwarded(t *testing.T) {
	u := startCutUpstreams(t)
	final := framings["length"](http.StatusOK, "text/plain", "an answer")
	head := strings.TrimPrefix(responseHead(http.StatusOK, "text/plain", "Content-Length: 0"), "HTTP/1.1 200 OK\r\n")
	for _, path := range []string{"/order/x", "/lookup/x", "/draft/x", "/note/x"} {
		for name, answer := range map[string]string{
			"switch of protocols":            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + head,
			"switch of protocols, final cut": "HTTP/1.1 101 Switching Protocols\r\n\r\n" + final[:len(final)/2],
			"zero":                           "HTTP/1.1 000 None\r\n" + head,
			"below 100":                      "HTTP/1.1 099 None\r\n" + head,
		} {
			want := cutResult{status: http.StatusBadGateway, body: `{"error":"upstreamBroke"}`, attempts: 1}
			if path == "/lookup/x" || path == "/note/x" {
				want.attempts = 2
			}
			got := u.send(path, path+name, answer)
			got.body = strings.TrimSpace(got.body)
			require.Equal(t, want, got, "%s, %s", path, name)
		}
	}
}
