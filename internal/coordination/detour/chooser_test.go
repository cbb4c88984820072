package detour

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

func ownVersion() int64 { return 5 }

func newPeer(id ident.DaemonID, change func(*fleet.Peer)) fleet.Peer {
	p := fleet.Peer{ID: id, Ready: true, TakesRequests: true, LastHeartbeatAt: time.Now()}
	if change != nil {
		change(&p)
	}
	return p
}

// Guards against passing requests to peers that don't know the call, can't serve them, or are gone.
func TestOnlyPeersThatMayServeAreChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []fleet.Peer{
			newPeer("older", func(p *fleet.Peer) { p.TakesRequests = false }),
			newPeer("leaving", func(p *fleet.Peer) { p.Leaving = true }),
			newPeer("starting", func(p *fleet.Peer) { p.Ready = false }),
			newPeer("cut", func(p *fleet.Peer) { p.UnreachableServices = []view.ServiceID{"s"} }),
			newPeer("silent", func(p *fleet.Peer) { p.LastHeartbeatAt = time.Now().Add(-time.Minute) }),
			newPeer("idle", nil),
		}
		active := map[ident.DaemonID]bool{}
		c := &Chooser{Peers: func() []fleet.Peer { return peers }, IsActive: func(id ident.DaemonID) bool { return active[id] }, ConfigVersion: ownVersion}
		for range 20 {
			p, ok := c.Choose(&Request{Service: "s"})
			require.True(t, ok)
			require.EqualValues(t, "idle", p.ID, "there is no active one")
		}
		_, ok := c.Choose(&Request{Service: "s", Tried: []ident.DaemonID{"idle"}})
		require.False(t, ok)
		active["cut"] = true
		p, ok := c.Choose(&Request{Service: "other"})
		require.True(t, ok)
		require.EqualValues(t, "cut", p.ID, "it reaches the other service, and is active")
	})
}

// Guards against passing requests to peers that don't know yet which upstreams are evacuated.
func TestPeersThatMayNotKnowOfEvacuationAreNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []fleet.Peer{
			newPeer("behind", func(p *fleet.Peer) { p.OperatorsOffset = 7 }), newPeer("ahead", func(p *fleet.Peer) { p.OperatorsOffset = 8 }),
		}
		c := &Chooser{
			Peers: func() []fleet.Peer { return peers }, IsActive: func(ident.DaemonID) bool { return true }, ConfigVersion: ownVersion,
			EvacuationOffset: func() ident.Offset { return 8 },
		}
		for range 20 {
			p, ok := c.Choose(&Request{Service: "s"})
			require.True(t, ok)
			require.EqualValues(t, "ahead", p.ID)
		}
	})
}

// Guards against passing requests to daemons outside of their homes.
func TestPeersAbroadAreNotChosen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []fleet.Peer{
			newPeer("home", func(p *fleet.Peer) { p.Domain = "n1" }), newPeer("abroad", func(p *fleet.Peer) { p.Domain = "s1" }),
			newPeer("nowhere", nil),
		}
		c := &Chooser{
			Peers: func() []fleet.Peer { return peers }, IsActive: func(ident.DaemonID) bool { return true }, ConfigVersion: ownVersion,
			Regions: view.Regions{"n1": "north", "s1": "south"},
		}
		for range 20 {
			p, ok := c.Choose(&Request{Service: "s", Homes: view.Homes{"north"}})
			require.True(t, ok)
			require.EqualValues(t, "home", p.ID)
		}
		require.False(t, c.HasCandidate(&Request{Service: "s", Homes: view.Homes{"west"}}))
	})
}

// Guards against one peer that gets all requests.
func TestRequestsAreSpreadOverPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peers := []fleet.Peer{newPeer("a", nil), newPeer("b", nil), newPeer("c", nil), newPeer("d", nil)}
		c := &Chooser{Peers: func() []fleet.Peer { return peers }, IsActive: func(ident.DaemonID) bool { return true }, ConfigVersion: ownVersion}
		chosen := map[ident.DaemonID]int{}
		for range 400 {
			p, ok := c.Choose(&Request{Service: "s"})
			require.True(t, ok)
			chosen[p.ID]++
		}
		for id, n := range chosen {
			require.InDelta(t, 100, n, 50, "requests in progress at %s", id)
		}
		require.Len(t, chosen, len(peers))
		for id, n := range chosen {
			for range n {
				c.Release(id)
			}
		}
		require.Empty(t, c.inFlight)
	})
}

// Guards against callers that see an older configuration after a newer one.
func TestPeersWithOlderConfigurationAreLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var peers []fleet.Peer
		c := &Chooser{Peers: func() []fleet.Peer { return peers }, IsActive: func(ident.DaemonID) bool { return true }, ConfigVersion: ownVersion}
		choose := func() ident.DaemonID {
			p, ok := c.Choose(&Request{Service: "s"})
			require.True(t, ok)
			return p.ID
		}
		withVersion := func(id ident.DaemonID, version int64) fleet.Peer {
			return newPeer(id, func(p *fleet.Peer) { p.ConfigVersion = version })
		}
		peers = []fleet.Peer{withVersion("a", 4), withVersion("b", 5)}
		for range 20 {
			require.EqualValues(t, "b", choose())
		}
		peers = []fleet.Peer{withVersion("a", 6)}
		require.EqualValues(t, "a", choose())
		peers = []fleet.Peer{withVersion("a", 6), withVersion("b", 5)}
		for range 20 {
			require.EqualValues(t, "a", choose(), "callers have seen version 6")
		}
		peers = []fleet.Peer{withVersion("a", 3), withVersion("b", 4)}
		require.EqualValues(t, "b", choose(), "no peer has a newer one")
	})
}
