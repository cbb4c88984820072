package intake

import (
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// pipeConn returns a connection whose client is the other end of a pipe, which takes a byte only when it reads one.
func pipeConn(t *testing.T, g *Gate) (*Conn, net.Conn) {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	c := &Conn{Conn: near, gate: g, scans: true}
	c.client = &memory.Client{Account: g.Account(), Conn: c}
	require.True(t, g.admit(c, connBytes))
	return c, far
}

// Guards against answers that are cut although their callers read them, however slowly.
func TestSlowReaderMakesProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{}
		c, far := pipeConn(t, g)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("an answer"))
			written <- err
		}()
		for range len("an answer") {
			time.Sleep(500 * time.Millisecond)
			require.False(t, g.Account().ExpelFor(nil), "closed although its client reads")
			_, err := far.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		require.NoError(t, <-written)
	})
}

func TestAnswerThatIsNotReadYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{}
		c, _ := pipeConn(t, g)
		written := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("an answer"))
			written <- err
		}()
		time.Sleep(2 * time.Second)
		require.True(t, g.Account().ExpelFor(nil))
		var refused *RefusedError
		require.ErrorAs(t, <-written, &refused)
		require.Equal(t, ReasonNoProgress, refused.Reason)
	})
}

func TestWriteEndsAtItsDeadline(t *testing.T) {
	for name, deadline := range map[string]time.Duration{"of the server": 3 * time.Second, "of the connection": stallTimeout} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _ := pipeConn(t, &Gate{})
				if deadline != stallTimeout {
					require.NoError(t, c.SetWriteDeadline(time.Now().Add(deadline)))
				}
				began := time.Now()
				_, err := c.Write([]byte("an answer"))
				require.ErrorIs(t, err, os.ErrDeadlineExceeded)
				require.GreaterOrEqual(t, time.Since(began), deadline)
				require.Less(t, time.Since(began), deadline+2*writeCheckPeriod)
			})
		})
	}
}

func TestDeadlineThatIsSetDuringWriteEndsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, _ := pipeConn(t, &Gate{})
		written := make(chan error, 1)
		go func() {
			_, err := c.Write([]byte("an answer"))
			written <- err
		}()
		time.Sleep(time.Second)
		require.NoError(t, c.SetWriteDeadline(time.Now()))
		require.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
	})
}
