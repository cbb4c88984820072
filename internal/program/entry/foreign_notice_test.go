package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Guards against a weight version or limits that are learned from an answer to another request.
func TestAnswerToAnotherRequestSaysNothingOfItsUpstream(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Busy"} {
		u := startCutUpstreams(t)
		const fields = signatureKey + ": sig\r\nX-Gooseberryway-Weight-Versions: 9\r\nServer-Limit: 1\r\nServer-Brittle: 1\r\n"
		for _, path := range []string{"/order/x", "/draft/x"} {
			u.send(path, "r1"+path, "HTTP/1.1 "+status+"\r\n"+requestIDKey+": another\r\n"+fields+"Content-Length: 0\r\n\r\n")
		}
		for _, id := range []ident.UpstreamID{"e0", "e1"} {
			require.NotEqualValues(t, 9, u.daemon.placer.WeightVersion(u.daemon.snapshots.Upstreams().ByID[id], "m"), status)
		}
		require.Empty(t, u.daemon.upstreamLimits.Limits(), status)
		require.Empty(t, u.daemon.rejectionLimits.Limits(), status)
	}
}
