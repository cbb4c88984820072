package intake

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/memory"
)

// lateConn returns the rest of a body at the moment when the gate has chosen to close the connection, whose address it then logs.
type lateConn struct {
	net.Conn
	release chan struct{}
}

func (c lateConn) Read(p []byte) (int, error) {
	<-c.release
	return copy(p, "body"), nil
}

func (c lateConn) RemoteAddr() net.Addr {
	close(c.release)
	synctest.Wait()
	return &net.TCPAddr{}
}

func (lateConn) Write(p []byte) (int, error)      { return len(p), nil }
func (lateConn) SetReadDeadline(time.Time) error  { return nil }
func (lateConn) SetWriteDeadline(time.Time) error { return nil }
func (lateConn) Close() error                     { return nil }

func TestExpelledConnectionPassesNothingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gate{}
		c := &Conn{Conn: lateConn{release: make(chan struct{})}, gate: g, scans: true, scanner: headScanner{ended: true}, bodyLeft: 4}
		c.client = &memory.Client{Account: g.Account(), Conn: c}
		require.True(t, g.admit(c, connBytes))
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 4<<10))
			read <- err
		}()
		synctest.Wait()
		require.True(t, g.Account().ExpelFor(nil))
		if <-read == nil {
			_, err := c.Write([]byte("answer"))
			require.NoError(t, err, "the request was passed on and can't be answered")
		}
	})
}

func TestConnectionWithRequestIsNotExpelled(t *testing.T) {
	g := &Gate{}
	c := &Conn{Conn: lateConn{}, gate: g, scans: true}
	c.client = &memory.Client{Account: g.Account(), Conn: c}
	require.True(t, g.admit(c, connBytes))
	require.False(t, c.Expel())
	_, err := c.Write([]byte("answer"))
	require.NoError(t, err)
}
