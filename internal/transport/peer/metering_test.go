package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/transport/meter"
)

func TestMessagesAreCountedByClientAndServer(t *testing.T) {
	reply := &wire.HeartbeatResponse{DaemonId: "d2", AppliedOffset: 5}
	c := startTestServer(t, Handlers{
		Heartbeat: func(context.Context, *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) { return reply, nil },
	}, "")
	req := &wire.HeartbeatRequest{DaemonId: "d1", AppliedOffset: 4}
	bytes, messages := meter.KindHeartbeat.Bytes(), meter.KindHeartbeat.Messages()
	_, err := c.Heartbeat(t.Context(), "d2", req)
	require.NoError(t, err)
	totalBytes := uint64(proto.Size(req) + proto.Size(reply))
	require.Equal(t, meter.ByteCount{Sent: totalBytes, Received: totalBytes}, meter.KindHeartbeat.Bytes().Sub(bytes))
	require.Equal(t, uint64(2), meter.KindHeartbeat.Messages()-messages)
}

// The Date header changes every second, and daemons never compare wall clocks, so it must not be sent.
func TestResponsesHaveNoDateHeader(t *testing.T) {
	server := httptest.NewServer(Handler(Handlers{}, "a shared token"))
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL+wire.PeerServiceTellProcedure, http.NoBody)
	require.NoError(t, err)
	resp, err := server.Client().Do(req)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Empty(t, resp.Header.Values("Date"))
}
