package memory

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	processBytes Bytes = 100e6
	connBytes    Bytes = 16 << 10
	mebibyte     Bytes = 1 << 20
)

// fakeConn says that it waits for its client unless it is busy.
type fakeConn struct {
	busy, expelled bool
}

func (c *fakeConn) Expel() bool {
	c.expelled = !c.busy
	return !c.busy
}

// open returns a client in a phase.
func open(t *testing.T, a *Account, p Phase) (*Client, *fakeConn) {
	t.Helper()
	conn := &fakeConn{}
	c := &Client{Account: a, Conn: conn}
	require.True(t, c.Open(connBytes))
	c.SetPhase(p)
	return c, conn
}

func TestClientWithoutProgressIsClosedFirst(t *testing.T) {
	for _, tc := range []struct {
		name   string
		closed int
		setUp  func(clients []*Client, conns []*fakeConn)
	}{
		{"oldest idle", 0, func([]*Client, []*fakeConn) {}},
		{"stalled request before an older idle one", 2, func(clients []*Client, _ []*fakeConn) {
			clients[2].SetPhase(Receiving)
			time.Sleep(stallTime)
		}},
		{"a byte now and then is no progress", 1, func(clients []*Client, _ []*fakeConn) {
			for _, c := range clients {
				c.SetPhase(Receiving)
			}
			for range 10 {
				time.Sleep(time.Second)
				clients[0].Received(progressBytes)
				clients[1].Received(1)
				clients[2].Received(progressBytes)
			}
		}},
		{"answer that is not read", 1, func(clients []*Client, _ []*fakeConn) {
			clients[1].SetPhase(Busy)
			clients[1].BeginSending(time.Now())
			time.Sleep(stallTime)
		}},
		{"answer that is being read stays", 0, func(clients []*Client, _ []*fakeConn) {
			clients[2].SetPhase(Busy)
			time.Sleep(stallTime)
			clients[2].BeginSending(time.Now())
		}},
		{"request in progress stays", 1, func(clients []*Client, _ []*fakeConn) { clients[0].SetPhase(Busy) }},
		{"request that has just arrived stays", 1, func(_ []*Client, conns []*fakeConn) { conns[0].busy = true }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := &Account{ProcessBytes: processBytes}
				var clients []*Client
				var conns []*fakeConn
				for range 3 {
					c, conn := open(t, a, Idle)
					clients, conns = append(clients, c), append(conns, conn)
					time.Sleep(time.Millisecond)
				}
				tc.setUp(clients, conns)
				require.True(t, a.ExpelFor(nil))
				for i, conn := range conns {
					require.Equal(t, i == tc.closed, conn.expelled, "client %d", i)
				}
			})
		})
	}
}

// fill has clients take pieces of a size until one is refused, and returns the clients that got one.
func fill(a *Account, u Use, size Bytes) []*Client {
	var clients []*Client
	for {
		c := &Client{Account: a, Conn: &fakeConn{busy: true}}
		h := c.NewHold(u)
		if !c.Open(connBytes) || !h.Take(size, size) {
			return clients
		}
		clients = append(clients, c)
	}
}

func TestLargePiecesLeaveRoomForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{ProcessBytes: processBytes}
		require.NotEmpty(t, fill(a, Bodies, mebibyte))
		require.NotEmpty(t, fill(a, Heads, mebibyte))
		c, _ := open(t, a, Busy)
		h := c.NewHold(Bodies)
		require.True(t, h.Take(largeBytes, largeBytes))
	})
}

func TestAllUsesTogetherStayWithinRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{ProcessBytes: processBytes}
		for _, u := range []Use{Requests, Bodies, Heads, Connections} {
			fill(a, u, largeBytes)
			require.LessOrEqual(t, a.held.sum(), a.room())
		}
	})
}

func TestOwnStateLeavesLessRoom(t *testing.T) {
	a := &Account{ProcessBytes: processBytes}
	before := a.room()
	a.own.bytes = 20e6
	require.Equal(t, before-20e6, a.room())
	a.own.bytes = processBytes
	require.Equal(t, processBytes/minRoomDivisor, a.room(), "clients get something however large the state is")
}

func TestOwnStateOutlastsClientsThatLeave(t *testing.T) {
	o := ownState{}
	o.peakHeld = 30e6
	o.estimate(50e6)
	require.Equal(t, Bytes(20e6), o.bytes)
	o.estimate(20e6) // Clients have held 30 MB since the cycle before, and have left.
	require.Equal(t, Bytes(20e6), o.bytes)
	o.peakHeld = 0
	o.estimate(20e6)
	o.estimate(10e6)
	o.estimate(10e6)
	require.Equal(t, Bytes(10e6), o.bytes)
}

// A single large request is served in calm whatever the share of large ones.
func TestSingleLargeBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{ProcessBytes: processBytes}
		small, _ := open(t, a, Busy)
		ordinary := small.NewHold(Bodies)
		for range 20 {
			require.True(t, ordinary.Take(largeBytes, largeBytes))
		}
		c, _ := open(t, a, Busy)
		h := c.NewHold(Bodies)
		size := a.Budget(Bodies) + mebibyte
		require.True(t, h.Take(size, size))
		require.False(t, h.Take(mebibyte, mebibyte), "only one such body is read")
		ordinary.ReleaseAll()
		h.ReleaseAll()
		require.Zero(t, a.Held(Bodies))
	})
}

func TestStalledClientMakesRoomForNewcomer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &Account{ProcessBytes: processBytes}
		holders := fill(a, Bodies, mebibyte)
		newcomer, _ := open(t, a, Busy)
		h := newcomer.NewHold(Bodies)
		require.False(t, h.Take(mebibyte, mebibyte))
		holders[0].Conn = &fakeConn{}
		holders[0].SetPhase(Receiving)
		time.Sleep(stallTime)
		require.False(t, h.Take(mebibyte, mebibyte), "the memory is free once its holder has given it back")
		require.True(t, holders[0].expelled)
		held := Hold{client: holders[0], use: Bodies, bytes: mebibyte}
		held.ReleaseAll()
		holders[0].Close()
		require.True(t, h.Take(mebibyte, mebibyte))
	})
}

func TestClosedClientGivesEverythingBack(t *testing.T) {
	a := &Account{}
	c, _ := open(t, a, Idle)
	require.True(t, c.SetHead(1000))
	a.ProcessBytes = 1
	require.True(t, c.SetHead(800), "what shrinks needs no room")
	a.ProcessBytes = 0
	h := c.NewHold(Requests)
	require.True(t, h.Take(500, 500))
	c.Close()
	require.Equal(t, Bytes(500), a.held.sum())
	require.False(t, h.Take(1, 1), "a closed client gets no more")
	h.ReleaseAll()
	require.Zero(t, a.held.sum())
	require.Zero(t, a.leaving.sum())
	require.Empty(t, a.clients)
}

// BenchmarkTake shows what a piece costs while many clients have connections.
func BenchmarkTake(b *testing.B) {
	a := &Account{ProcessBytes: processBytes}
	for range 1000 {
		c := &Client{Account: a, Conn: &fakeConn{}}
		require.True(b, c.Open(connBytes))
	}
	c := &Client{Account: a, Conn: &fakeConn{}}
	require.True(b, c.Open(connBytes))
	h := c.NewHold(Bodies)
	b.ReportAllocs()
	for b.Loop() {
		_ = h.Take(1000, 1000)
		h.Release(1000)
	}
}
