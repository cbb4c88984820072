package peer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func startTestServer(t *testing.T, h Handlers, token string) *Client {
	t.Helper()
	srv := httptest.NewUnstartedServer(Handler(h, token))
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	c := &Client{Token: token, Resolve: func(d ident.DaemonID) (string, bool) {
		return srv.Listener.Addr().String(), d == "d2"
	}}
	t.Cleanup(c.Close)
	return c
}

// Calls must reach their handlers. An error of a handler must become a *CallError, and a call to a daemon without an
// address an *UnknownDaemonError.
func TestClientCallsHandlers(t *testing.T) {
	c := startTestServer(t, Handlers{
		Heartbeat: func(_ context.Context, r *wire.HeartbeatRequest) (*wire.HeartbeatResponse, error) {
			return &wire.HeartbeatResponse{DaemonId: "d2", AppliedOffset: r.GetAppliedOffset() + 1}, nil
		},
		Snapshot: func(_ context.Context, _ *wire.SnapshotRequest, send func(*wire.SnapshotChunk) error) error {
			for i := range int32(3) {
				if err := send(&wire.SnapshotChunk{Checkpoint: &wire.CheckpointChunk{Index: i}}); err != nil {
					return err
				}
			}
			return nil
		},
		Relay: func(context.Context, *wire.RelayRequest) (*wire.RelayResponse, error) {
			return nil, &UnknownDaemonError{Daemon: "d9"}
		},
	}, "a shared token")

	resp, err := c.Heartbeat(t.Context(), "d2", &wire.HeartbeatRequest{AppliedOffset: 4})
	require.NoError(t, err)
	require.Equal(t, uint64(5), resp.GetAppliedOffset())

	var got []int32
	err = c.Snapshot(t.Context(), "d2", &wire.SnapshotRequest{}, func(chunk *wire.SnapshotChunk) error {
		got = append(got, chunk.GetCheckpoint().GetIndex())
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, []int32{0, 1, 2}, got)

	_, err = c.Relay(t.Context(), "d2", &wire.RelayRequest{})
	var callErr *CallError
	require.ErrorAs(t, err, &callErr)

	_, err = c.Heartbeat(t.Context(), "d3", &wire.HeartbeatRequest{})
	var unknown *UnknownDaemonError
	require.ErrorAs(t, err, &unknown)
}

func TestCallsWithWrongTokenAreRefused(t *testing.T) {
	c := startTestServer(t, Handlers{}, "a shared token")
	c.Token = "another"
	_, err := c.Heartbeat(t.Context(), "d2", &wire.HeartbeatRequest{})
	var callErr *CallError
	require.ErrorAs(t, err, &callErr)
}
