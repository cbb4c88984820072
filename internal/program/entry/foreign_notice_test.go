package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against a weight version or limits that are learned from an answer to another request, or from one that is no answer.
func TestAnswerToAnotherRequestSaysNothingOfItsUpstream(t *testing.T) {
	const fields = "X-Gooseberryway-Weight-Versions: 9\r\nServer-Limit: 1\r\nServer-Brittle: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	for name, head := range map[string]string{
		"another request's answer":    "HTTP/1.1 200 OK\r\n" + requestIDKey + ": another\r\n" + signatureKey + ": sig\r\n",
		"another request's refusal":   "HTTP/1.1 503 Busy\r\n" + requestIDKey + ": another\r\n" + signatureKey + ": sig\r\n",
		"success without signature":   "HTTP/1.1 200 OK\r\n" + requestIDKey + ": @id\r\n",
		"head that isn't well formed": "HTTP/1.1 200 OK\r\n" + requestIDKey + ": @id\r\n" + signatureKey + ": sig\r\nX Foo: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			u := startCutUpstreams(t)
			for _, path := range []string{"/order/x", "/draft/x"} {
				u.send(path, "r1"+path, head+fields)
			}
			for _, id := range []ident.UpstreamID{"e0", "e1"} {
				require.NotEqualValues(t, 9, u.daemon.placer.WeightVersion(u.daemon.snapshots.Upstreams().ByID[id], "m"))
			}
			require.Empty(t, u.daemon.upstreamLimits.Limits())
			require.Empty(t, u.daemon.rejectionLimits.Limits())
		})
	}
}
