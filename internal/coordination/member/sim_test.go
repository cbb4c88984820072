package member_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/lease"
	"github.com/gooseberryway/gooseberryway/internal/coordination/member"
	"github.com/gooseberryway/gooseberryway/internal/coordination/replay"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// sim is a simulated fleet with a network and a log in memory, for use inside a synctest bubble.
type sim struct {
	t    *testing.T
	rule member.Rule
	// fullMeshLimit is the FullMeshLimit of every daemon.
	fullMeshLimit int
	log           *fakes.Log
	nodes         []*node
	// prepare is called for each Membership before it runs; it may be nil.
	prepare func(*member.Membership)
	// initialNodes is the number of daemons at the start.
	initialNodes int
	wg           sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// cutLinks holds the directed links that lose all messages.
	cutLinks map[[2]ident.DaemonID]bool
	// logCut holds the daemons that can't reach the log.
	logCut map[ident.DaemonID]bool
	// appendDelay delays the effect of appends, loseAppendAcks drops their responses.
	appendDelay    time.Duration
	loseAppendAcks bool
}

// node is one daemon. A restart gives it a new process.
type node struct {
	sim     *sim
	id      ident.DaemonID
	process *process
	// decommissioned is true for a daemon that never starts again.
	decommissioned bool
	// resumed is closed when a pause ends; nil while not paused.
	resumed chan struct{}
}

// process is one run of a daemon with all that it holds in memory.
type process struct {
	node       *node
	follower   *replay.Follower
	writer     *replay.Writer
	membership *member.Membership
	holder     *lease.Holder
	checkpoint *replay.Checkpointer
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

func newSim(t *testing.T, daemons int, seed uint64, rule member.Rule) *sim {
	t.Helper()
	s := &sim{
		t:            t,
		rule:         rule,
		initialNodes: daemons,
		log:          &fakes.Log{AppendsPerSecond: 300},
		rng:          rand.New(rand.NewPCG(seed, 1)),
		cutLinks:     map[[2]ident.DaemonID]bool{},
		logCut:       map[ident.DaemonID]bool{},
	}
	for range daemons {
		s.addNode()
	}
	return s
}

// addNode adds a daemon that is not running yet.
func (s *sim) addNode() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &node{sim: s, id: ident.DaemonID(fmt.Sprintf("d%d", len(s.nodes)))}
	s.nodes = append(s.nodes, n)
	return n
}

// boot starts all daemons and waits until each serves and the state in force names all of them.
func (s *sim) boot() {
	for _, n := range s.nodes {
		n.start()
	}
	s.eventually(time.Minute, "all daemons have joined and serve", func() bool {
		for _, n := range s.nodes {
			p := n.process
			v := p.membership.View()
			if v == nil || !p.holder.Valid() || len(member.Witnesses(v.InForce)) < len(s.nodes) {
				return false
			}
		}
		return true
	})
}

func (s *sim) close() {
	for _, n := range s.nodes {
		n.resume()
		n.crash()
	}
	s.wg.Wait()
	s.log.Close()
}

func (s *sim) eventually(timeout time.Duration, what string, done func() bool) {
	s.t.Helper()
	if !s.waitUntil(timeout, done) {
		require.FailNow(s.t, "condition not met in time", "%s: %s", what, s.describe())
	}
}

// waitUntil waits until done returns true and reports whether it did so in time.
func (s *sim) waitUntil(timeout time.Duration, done func() bool) bool {
	deadline := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	return true
}

func (s *sim) describe() string {
	text := ""
	for _, n := range s.nodes {
		if n.process == nil {
			text += fmt.Sprintf("\n%s stopped", n.id)
			continue
		}
		text += fmt.Sprintf("\n%s in force %d, %s", n.id, n.process.follower.InForce().Offset(), n.process.holder.Status())
	}
	return text
}

func (s *sim) randomDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))
}

func (n *node) start() {
	s := n.sim
	ctx, cancel := context.WithCancel(context.Background())
	client := &pausableLog{node: n, client: &fakes.LogClient{Log: s.log, Fault: n.nextLogFault}}
	p := &process{node: n, cancel: cancel}
	p.follower = &replay.Follower{Log: client, Peers: p, Seeds: n.otherIDs}
	p.writer = &replay.Writer{Log: client, Follower: p.follower}
	p.membership = &member.Membership{
		Self: config.Member{
			ID:            n.id,
			PeerAddress:   "127.0.0.1:1",
			FailureDomain: ident.FailureDomain("f" + string(n.id[1:])),
		},
		Follower: p.follower,
		Writer:   p.writer,
		Peers:    p,

		FullMeshLimit: s.fullMeshLimit,
	}
	p.membership.DisableRule(s.rule)
	if s.prepare != nil {
		s.prepare(p.membership)
	}
	p.holder = &lease.Holder{Follower: p.follower, Fleet: p.membership}
	p.checkpoint = &replay.Checkpointer{Self: n.id, Log: client, Follower: p.follower, Writer: p.writer}
	p.follower.OnChange = p.membership.Refresh
	p.follower.LeaseNeedsReads = p.holder.NeedsLog
	p.follower.HoldsLease = p.holder.Valid
	p.membership.OnChange = p.holder.Renew
	p.wg.Go(func() { _ = p.follower.Run(ctx) })
	p.wg.Go(func() { _ = p.membership.Run(ctx) })
	p.wg.Go(func() { _ = p.checkpoint.Run(ctx) })
	s.mu.Lock()
	n.process = p
	s.mu.Unlock()
}

// crash ends the process; its memory is lost.
func (n *node) crash() {
	n.sim.mu.Lock()
	p := n.process
	n.process = nil
	n.sim.mu.Unlock()
	if p != nil {
		p.stop()
	}
}

func (p *process) stop() {
	p.cancel()
	p.membership.Close()
	p.checkpoint.Close()
	p.follower.Close()
	p.wg.Wait()
}

func (n *node) pause() {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	if n.resumed == nil {
		n.resumed = make(chan struct{})
	}
}

func (n *node) resume() {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

func (n *node) isPaused() bool {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	return n.resumed != nil
}

// waitWhilePaused blocks a message or call while the daemon is paused.
func (n *node) waitWhilePaused(ctx context.Context) error {
	n.sim.mu.Lock()
	resumed := n.resumed
	n.sim.mu.Unlock()
	if resumed == nil {
		return ctx.Err()
	}
	select {
	case <-resumed:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) otherIDs() []ident.DaemonID {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	var ids []ident.DaemonID
	for _, other := range n.sim.nodes {
		if other != n && !other.decommissioned {
			ids = append(ids, other.id)
		}
	}
	return ids
}

// remaining returns the daemons that are not decommissioned.
func (s *sim) remaining() []*node {
	var remaining []*node
	for _, n := range s.nodes {
		if !n.decommissioned {
			remaining = append(remaining, n)
		}
	}
	return remaining
}

func (s *sim) allIndexes() []int {
	indexes := make([]int, len(s.nodes))
	for i := range indexes {
		indexes[i] = i
	}
	return indexes
}

// writeSettingAsync writes a setting through a daemon and does not wait for the result.
func (s *sim) writeSettingAsync(i int, name string, value int) {
	p := s.nodes[i].process
	if p == nil {
		return
	}
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = p.writeSetting(ctx, name, value)
	})
}

func (p *process) writeSetting(ctx context.Context, name string, value int) (replay.Result, error) {
	setting := &config.Setting{Path: ident.Path("/platform/settings/" + name), Value: fmt.Sprint(value)}
	base := p.follower.State().Revision(setting.Path)
	return p.writer.Write(ctx, config.NewRecord(replay.NewRecordID(), "operator", base, setting))
}

// servingNodes returns the daemons that hold a lease and are not paused.
func (s *sim) servingNodes() []*node {
	var serving []*node
	for _, n := range s.nodes {
		if n.process != nil && !n.isPaused() && n.process.holder.Valid() {
			serving = append(serving, n)
		}
	}
	return serving
}

// violation describes a lease holder that is behind a record in force, "" if there is none.
func (s *sim) violation() string {
	var inForce ident.Offset
	var by ident.DaemonID
	for _, n := range s.nodes {
		if n.process == nil {
			continue
		}
		if offset := n.process.follower.InForce().Offset(); offset > inForce {
			inForce, by = offset, n.id
		}
	}
	for _, n := range s.servingNodes() {
		if at := n.process.follower.State().Offset(); at < inForce {
			return fmt.Sprintf("%s serves at %d, %s says that %d is in force", n.id, at, by, inForce)
		}
	}
	return ""
}

// runFor lets the time pass and returns the first violation, "" if there was none.
func (s *sim) runFor(d time.Duration) string {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		if v := s.violation(); v != "" {
			return v
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s.violation()
}
