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

// sim is a fleet of daemons over a network and a log in memory, to be used inside a synctest bubble.
type sim struct {
	t    *testing.T
	rule member.Rule
	// direct is the size up to which heartbeats go from all to all; 0 is the program's.
	direct int
	log    *fakes.Log
	nodes  []*node
	// prepare is called for each fleet before it runs; nil for nothing.
	prepare func(*member.Membership)
	// booted is the number of daemons at the start.
	booted int
	wg     sync.WaitGroup

	mu  sync.Mutex
	rng *rand.Rand
	// cut holds the directed links that lose all messages.
	cut map[[2]ident.DaemonID]bool
	// logCut holds the daemons that can't reach the log.
	logCut map[ident.DaemonID]bool
	// late delays the effect of appends, lose drops their answers.
	late time.Duration
	lose bool
}

// node is one daemon. A restart gives it a new process.
type node struct {
	sim     *sim
	id      ident.DaemonID
	process *process
	// gone is true for a daemon that never comes back.
	gone bool
	// resumed is closed when a pause ends; nil while not paused.
	resumed chan struct{}
}

// process is the memory of a running daemon.
type process struct {
	node       *node
	follower   *replay.Follower
	writer     *replay.Writer
	fleet      *member.Membership
	holder     *lease.Holder
	checkpoint *replay.Checkpointer
	cancel     context.CancelFunc
	wg         sync.WaitGroup
}

func newSim(t *testing.T, daemons int, seed uint64, rule member.Rule) *sim {
	t.Helper()
	s := &sim{
		t:      t,
		rule:   rule,
		booted: daemons,
		log:    &fakes.Log{AppendsPerSecond: 300},
		rng:    rand.New(rand.NewPCG(seed, 1)),
		cut:    map[[2]ident.DaemonID]bool{},
		logCut: map[ident.DaemonID]bool{},
	}
	for range daemons {
		s.add()
	}
	return s
}

// add adds a daemon that is not running yet.
func (s *sim) add() *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := &node{sim: s, id: ident.DaemonID(fmt.Sprintf("d%d", len(s.nodes)))}
	s.nodes = append(s.nodes, n)
	return n
}

// boot starts all daemons and waits until all have joined, serve and agree on what is in force.
func (s *sim) boot() {
	for _, n := range s.nodes {
		n.start()
	}
	s.eventually(time.Minute, "all daemons have joined and serve", func() bool {
		for _, n := range s.nodes {
			p := n.process
			v := p.fleet.View()
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

func (s *sim) eventually(within time.Duration, what string, done func() bool) {
	s.t.Helper()
	if !s.within(within, done) {
		require.FailNow(s.t, "not in time", "%s: %s", what, s.describe())
	}
}

// within reports whether done becomes true in time.
func (s *sim) within(d time.Duration, done func() bool) bool {
	deadline := time.Now().Add(d)
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

func (s *sim) delay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Millisecond + time.Duration(s.rng.Int64N(int64(20*time.Millisecond)))
}

func (n *node) start() {
	s := n.sim
	ctx, cancel := context.WithCancel(context.Background())
	client := &gatedLog{node: n, client: &fakes.LogClient{Log: s.log, Fault: n.logFault}}
	p := &process{node: n, cancel: cancel}
	p.follower = &replay.Follower{Log: client, Peers: p, Seeds: n.others}
	p.writer = &replay.Writer{Log: client, Follower: p.follower}
	p.fleet = &member.Membership{
		Self: config.Member{
			ID:            n.id,
			PeerAddress:   "127.0.0.1:1",
			FailureDomain: ident.FailureDomain("f" + string(n.id[1:])),
		},
		Follower: p.follower,
		Writer:   p.writer,
		Peers:    p,

		FullMeshLimit: s.direct,
	}
	p.fleet.Break(s.rule)
	if s.prepare != nil {
		s.prepare(p.fleet)
	}
	p.holder = &lease.Holder{Follower: p.follower, Fleet: p.fleet}
	p.checkpoint = &replay.Checkpointer{Self: n.id, Log: client, Follower: p.follower, Writer: p.writer}
	p.follower.OnChange = p.fleet.Refresh
	p.follower.LeaseNeedsReads = p.holder.NeedsLog
	p.follower.HoldsLease = p.holder.Valid
	p.fleet.OnChange = p.holder.Renew
	p.wg.Go(func() { _ = p.follower.Run(ctx) })
	p.wg.Go(func() { _ = p.fleet.Run(ctx) })
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
	p.fleet.Close()
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

// gate holds everything that enters or leaves a paused daemon.
func (n *node) gate(ctx context.Context) error {
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

func (n *node) others() []ident.DaemonID {
	n.sim.mu.Lock()
	defer n.sim.mu.Unlock()
	var ids []ident.DaemonID
	for _, other := range n.sim.nodes {
		if other != n && !other.gone {
			ids = append(ids, other.id)
		}
	}
	return ids
}

// present returns the daemons that are not gone.
func (s *sim) present() []*node {
	var present []*node
	for _, n := range s.nodes {
		if !n.gone {
			present = append(present, n)
		}
	}
	return present
}

func (s *sim) all() []int {
	ids := make([]int, len(s.nodes))
	for i := range ids {
		ids[i] = i
	}
	return ids
}

// set writes a setting through a daemon in the background.
func (s *sim) set(i int, name string, value int) {
	p := s.nodes[i].process
	if p == nil {
		return
	}
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _ = p.set(ctx, name, value)
	})
}

func (p *process) set(ctx context.Context, name string, value int) (replay.Result, error) {
	setting := &config.Setting{Path: ident.Path("/platform/settings/" + name), Value: fmt.Sprint(value)}
	base := p.follower.State().Revision(setting.Path)
	return p.writer.Write(ctx, config.NewRecord(replay.NewRecordID(), "operator", base, setting))
}

// serving returns the daemons that hold a lease and are not paused.
func (s *sim) serving() []*node {
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
	for _, n := range s.serving() {
		if at := n.process.follower.State().Offset(); at < inForce {
			return fmt.Sprintf("%s serves at %d, %s says that %d is in force", n.id, at, by, inForce)
		}
	}
	return ""
}

// run lets time pass and watches for violations.
func (s *sim) run(d time.Duration) string {
	deadline := time.Now().Add(d)
	for time.Now().Before(deadline) {
		if v := s.violation(); v != "" {
			return v
		}
		time.Sleep(50 * time.Millisecond)
	}
	return s.violation()
}
