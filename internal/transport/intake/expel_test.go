package intake

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
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
		require.True(t, g.admit(c))
		read := make(chan error, 1)
		go func() {
			_, err := c.Read(make([]byte, 4<<10))
			read <- err
		}()
		synctest.Wait()
		g.mu.Lock()
		g.closeWorst(nil, -1)
		g.mu.Unlock()
		if <-read == nil {
			_, err := c.Write([]byte("answer"))
			require.NoError(t, err, "the request was passed on and can't be answered")
		}
	})
}

func TestConnectionWithRequestIsNotExpelled(t *testing.T) {
	g := &Gate{}
	c := &Conn{Conn: lateConn{}, gate: g, scans: true}
	require.True(t, g.admit(c))
	require.False(t, c.expel())
	_, err := c.Write([]byte("answer"))
	require.NoError(t, err)
}
