package place

import (
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// restarts replays upstreams that crash in series, each time a third of them, and start again with new ids at their addresses. A third of the
// daemons is cut off from the store and gets new registrations at the end of a series only.
type restarts struct {
	daemons   []*Placer
	listed    map[ident.UpstreamID]*view.Upstream
	instances map[string]ident.UpstreamID
	rejected  int
	// tells says that daemons act on what rejections say, and tell their peers.
	tells bool
}

const (
	restartingDaemons = 9
	cutOffDaemons     = restartingDaemons / 3
	crashInterval     = 4 * time.Second
	// listedAfterCrash is how long the registration of an upstream that has ended stays listed.
	listedAfterCrash = 2 * time.Second
)

// publish gives the daemons that reach the store the registrations of now.
func (s *restarts) publish(daemons []*Placer) {
	for _, p := range daemons {
		u := view.NewUpstreams(maps.Clone(s.listed), 1)
		if !s.tells {
			u.Displaced = nil
		}
		p.Snapshots.SetUpstreams(u)
	}
}

// crash ends a third of the upstreams and starts them again a second later.
func (s *restarts) crash(series int) {
	connected := s.daemons[cutOffDaemons:]
	var ended []ident.UpstreamID
	for i := series; i < engineCount; i += 3 {
		u := engineAt(i)
		old := s.instances[u.Address]
		for _, p := range s.daemons {
			p.MarkUnreachable(old)
		}
		u.ID, u.Offset = ident.UpstreamID(fmt.Sprintf("%s-%d", u.ID, series)), s.listed[old].Offset+engineCount
		s.instances[u.Address] = u.ID
		s.listed[u.ID] = u
		ended = append(ended, old)
	}
	time.Sleep(time.Second)
	for _, p := range s.daemons {
		for _, id := range ended {
			p.MarkReachable(id)
		}
	}
	s.publish(connected)
	time.Sleep(listedAfterCrash)
	for _, id := range ended {
		delete(s.listed, id)
	}
	s.publish(connected)
}

// send sends a request of a daemon's.
func (s *restarts) send(t *testing.T, p *Placer, chain int) {
	t.Helper()
	c, err := p.Choose(requestFor(chain))
	require.NoError(t, err, "upstreams are left")
	tracker := p.Begin(c, requestFor(chain))
	by := s.instances[c.Upstream.Address]
	if by == c.Upstream.ID {
		tracker.MarkActive()
		tracker.MarkFirstEvent()
		tracker.End(OutcomeSucceeded)
		return
	}
	s.rejected++
	tracker.End(OutcomeMisdirected)
	if s.tells {
		p.MarkDisplaced(c.Upstream, by)
	}
}

// heartbeats passes on between all daemons what they have found.
func (s *restarts) heartbeats() {
	for _, from := range s.daemons {
		for _, d := range from.Displacements() {
			for _, to := range s.daemons {
				if to != from {
					to.ApplyDisplacement(d)
				}
			}
		}
	}
}

func (s *restarts) run(t *testing.T) {
	t.Helper()
	s.listed, s.instances = map[ident.UpstreamID]*view.Upstream{}, map[string]ident.UpstreamID{}
	for i := range engineCount {
		u := engineAt(i)
		u.Offset = ident.Offset(i + 1)
		s.listed[u.ID], s.instances[u.Address] = u, u.ID
	}
	for range restartingDaemons {
		s.daemons = append(s.daemons, newTestPlacer())
	}
	s.publish(s.daemons)
	go func() {
		for series := range 3 {
			s.crash(series)
			time.Sleep(crashInterval - time.Second - listedAfterCrash)
			s.publish(s.daemons)
		}
	}()
	synctest.Wait()
	for i := range int(3 * crashInterval / (10 * time.Millisecond)) {
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
		for n, p := range s.daemons {
			s.send(t, p, i*restartingDaemons+n)
		}
		if i%10 == 0 {
			s.heartbeats()
		}
	}
	synctest.Wait()
}

// Guards against the old registrations of upstreams that have crashed and started again: each looks idle, attracts requests of all daemons, and
// rejects them until the registration ends.
func TestRestartedUpstreamsRejectFewRequests(t *testing.T) {
	rejected := map[bool]int{}
	for _, tells := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &restarts{tells: tells}
			s.run(t)
			rejected[tells] = s.rejected
		})
	}
	t.Logf("rejected without %d, with %d", rejected[false], rejected[true])
	require.LessOrEqual(t, rejected[true], restartingDaemons*engineCount, "each daemon may find out each restart for itself")
	require.Greater(t, rejected[false], 10*rejected[true])
}

// Guards against a registration that the store takes in late, after that of the upstream which has the address now.
func TestLateRegistrationDoesNotDisplaceTheUpstreamThatAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		ended, current := engineAt(0), engineAt(1)
		current.Address, ended.Offset, current.Offset = ended.Address, 8, 7
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{ended.ID: ended, current.ID: current}, 9))
		c, err := p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, ended.ID, c.Upstream.ID)
		require.True(t, p.MarkDisplaced(c.Upstream, current.ID))
		require.False(t, p.MarkDisplaced(c.Upstream, current.ID), "no news")
		c, err = p.Choose(requestFor(1))
		require.NoError(t, err)
		require.Equal(t, current.ID, c.Upstream.ID)
	})
}

// Guards against a wrong answer, or a peer's old word, that keeps requests from an upstream for good.
func TestDisplacedUpstreamReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlacer()
		u := engineAt(0)
		u.Offset = 1
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: u}, 1))
		p.ApplyDisplacement(Displacement{Upstream: u.ID, Incarnation: u.Incarnation + 1, For: time.Second})
		require.False(t, p.IsDisplaced(u), "said of another incarnation")
		p.MarkDisplaced(u, "other")
		require.True(t, p.IsDisplaced(u))
		renewed := engineAt(0)
		renewed.Offset = 2
		p.Snapshots.SetUpstreams(view.NewUpstreams(map[ident.UpstreamID]*view.Upstream{u.ID: renewed}, 2))
		require.False(t, p.IsDisplaced(renewed), "it registers")
		p.ApplyDisplacement(Displacement{Upstream: u.ID, Incarnation: u.Incarnation, For: time.Hour})
		require.True(t, p.IsDisplaced(renewed))
		require.Empty(t, p.Displacements(), "what peers tell isn't passed on")
		time.Sleep(displacedTTL)
		require.False(t, p.IsDisplaced(renewed))
	})
}
