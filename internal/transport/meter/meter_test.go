package meter

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// Both ends of the connection are in this process, so each of the 5 bytes sent and echoed is counted twice.
func TestDialAndListenerCountBytes(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	listener := &Listener{Listener: inner, Link: LinkVMs}
	defer listener.Close()
	before := LinkVMs.Bytes()
	echoDone := make(chan error, 1)
	go func() {
		accepted, echoErr := listener.Accept()
		if echoErr == nil {
			_, echoErr = io.CopyN(accepted, accepted, 5)
			_ = accepted.Close()
		}
		echoDone <- echoErr
	}()
	c, err := LinkVMs.Dial((&net.Dialer{}).DialContext)(t.Context(), "tcp", inner.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Write([]byte("girth"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 5))
	require.NoError(t, err)
	require.NoError(t, <-echoDone)
	require.Equal(t, ByteCount{Sent: 10, Received: 10}, LinkVMs.Bytes().Sub(before))
}

// The bytes of a digest inside a heartbeat must be counted once, as a digest and not as a heartbeat.
func TestDigestIsCountedSeparatelyFromHeartbeat(t *testing.T) {
	heartbeat := &wire.HeartbeatRequest{DaemonId: "d1", AppliedOffset: 7}
	_, sizeWithoutDigest, _ := measure(heartbeat)
	heartbeat.Digest = &wire.Digest{DaemonId: "d1", Incarnation: 3}
	kind, size, digestSize := measure(heartbeat)
	require.Equal(t, KindHeartbeat, kind)
	require.Greater(t, digestSize, 0)
	require.Greater(t, size-digestSize, sizeWithoutDigest, "the tag and length of the digest field count for the heartbeat")

	heartbeatBytes, digestBytes := KindHeartbeat.Bytes(), KindDigest.Bytes()
	messages := KindHeartbeat.Messages()
	CountSent(heartbeat)
	CountReceived(heartbeat)
	require.Equal(t, uint64(1), KindHeartbeat.Messages()-messages)
	require.Equal(t, ByteCount{Sent: uint64(size - digestSize), Received: uint64(size - digestSize)}, KindHeartbeat.Bytes().Sub(heartbeatBytes))
	require.Equal(t, ByteCount{Sent: uint64(digestSize), Received: uint64(digestSize)}, KindDigest.Bytes().Sub(digestBytes))
}
