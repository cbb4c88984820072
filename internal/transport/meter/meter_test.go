package meter

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

func TestBothEndsCountTheBytes(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &Listener{Listener: socket, Link: LinkVMs}
	defer listener.Close()
	before := LinkVMs.Bytes()
	ended := make(chan error, 1)
	go func() {
		accepted, failed := listener.Accept()
		if failed == nil {
			_, failed = io.CopyN(accepted, accepted, 5)
			_ = accepted.Close()
		}
		ended <- failed
	}()
	c, err := LinkVMs.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", socket.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("girth"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 5))
	require.NoError(t, err)
	require.NoError(t, <-ended)
	require.Equal(t, ByteCount{Sent: 10, Received: 10}, LinkVMs.Bytes().Sub(before))
}

func TestADigestIsCountedApartFromItsHeartbeat(t *testing.T) {
	bare := &wire.HeartbeatRequest{DaemonId: "d1", AppliedOffset: 7}
	_, alone, _ := measure(bare)
	bare.Digest = &wire.Digest{DaemonId: "d1", Incarnation: 3}
	kind, size, digest := measure(bare)
	require.Equal(t, KindHeartbeat, kind)
	require.Greater(t, digest, 0)
	require.Greater(t, size-digest, alone, "the field's own header belongs to the heartbeat")

	heartbeats, digests := KindHeartbeat.Bytes(), KindDigest.Bytes()
	messages := KindHeartbeat.Messages()
	CountSent(bare)
	CountReceived(bare)
	require.Equal(t, uint64(1), KindHeartbeat.Messages()-messages)
	require.Equal(t, ByteCount{Sent: uint64(size - digest), Received: uint64(size - digest)}, KindHeartbeat.Bytes().Sub(heartbeats))
	require.Equal(t, ByteCount{Sent: uint64(digest), Received: uint64(digest)}, KindDigest.Bytes().Sub(digests))
}
