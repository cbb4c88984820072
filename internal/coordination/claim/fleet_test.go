package claim

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// lostError is the error of a lost message.
type lostError struct{}

func (*lostError) Error() string { return "lost" }

// memoryLog is a log service in memory.
type memoryLog struct {
	mu      sync.Mutex
	entries []extern.LogEntry
	// delay is the time of a call; down makes calls fail.
	delay time.Duration
	down  bool
	// late makes appends take effect only after that time, with their answers lost.
	late time.Duration
	// perSecond limits the appends; 0 for no limit.
	perSecond int
	second    int64
	count     int
	appends   int
	payload   int
}

func (l *memoryLog) Append(ctx context.Context, stream extern.Stream, payload []byte) (ident.Offset, error) {
	if err := wait(ctx, l.delay); err != nil {
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.limited() {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: stream, Err: &lostError{}}
	}
	if l.late > 0 {
		time.AfterFunc(l.late, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.put(payload)
		})
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: &lostError{}}
	}
	return l.put(payload), nil
}

func (l *memoryLog) limited() bool {
	if l.perSecond == 0 {
		return false
	}
	now := time.Now().Unix()
	if now != l.second {
		l.second, l.count = now, 0
	}
	l.count++
	return l.count > l.perSecond
}

func (l *memoryLog) put(payload []byte) ident.Offset {
	offset := ident.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, extern.LogEntry{Offset: offset, Payload: slices.Clone(payload)})
	l.appends++
	l.payload += len(payload)
	return offset
}

func (l *memoryLog) Read(ctx context.Context, stream extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	if err := wait(ctx, l.delay); err != nil {
		return extern.LogBatch{}, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return extern.LogBatch{}, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: &lostError{}}
	}
	batch := extern.LogBatch{Tail: ident.Offset(len(l.entries))}
	if len(l.entries) > 0 {
		batch.First = 1
	}
	if from <= batch.Tail {
		rest := l.entries[max(1, from)-1:]
		batch.Entries = slices.Clone(rest[:min(limit, len(rest))])
	}
	return batch, nil
}

func (l *memoryLog) set(f func(*memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// view is the members from a time on; it is in force later.
type view struct {
	members     []ident.DaemonID
	epoch       ident.Offset
	at, inForce time.Time
}

// leaseTTL is how long a daemon that is cut off goes on serving.
const leaseTTL = 3 * time.Second

// fleet is a set of claimers with one view of who owns the slices.
type fleet struct {
	mu       sync.Mutex
	claimers map[ident.DaemonID]*Claimer
	members  []ident.DaemonID
	// views are the members over time; lags say how much later a daemon learns of them.
	views    []view
	lags     map[ident.DaemonID]time.Duration
	cutAt    map[ident.DaemonID]time.Time
	log      *memoryLog
	window   time.Duration
	delay    time.Duration
	cut      map[ident.DaemonID]bool
	stopping sync.WaitGroup
}

func newFleet(n int, window time.Duration) *fleet {
	f := &fleet{
		claimers: make(map[ident.DaemonID]*Claimer),
		log:      &memoryLog{delay: 5 * time.Millisecond},
		delay:    1500 * time.Microsecond,
		cut:      make(map[ident.DaemonID]bool),
		window:   window,
		lags:     make(map[ident.DaemonID]time.Duration),
		cutAt:    make(map[ident.DaemonID]time.Time),
	}
	for i := range n {
		f.members = append(f.members, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	f.views = []view{{members: f.members, epoch: 1, at: time.Now(), inForce: time.Now()}}
	for _, id := range f.members {
		f.start(id, 1)
	}
	return f
}

func (f *fleet) start(id ident.DaemonID, incarnation ident.Incarnation) {
	c := &Claimer{Self: id, Incarnation: incarnation, Log: f.log, Peers: port{fleet: f, self: id}, Retention: f.window}
	c.Owner = func(s Slice) Ownership { return f.owner(id, s) }
	c.HoldsLease = func() bool { return f.serving(id) }
	f.mu.Lock()
	f.claimers[id] = c
	f.mu.Unlock()
	f.stopping.Go(func() { c.Run(context.Background()) })
}

// crash ends a daemon; what it knew is lost.
func (f *fleet) crash(id ident.DaemonID) {
	f.mu.Lock()
	c := f.claimers[id]
	delete(f.claimers, id)
	f.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

func (f *fleet) close() {
	for _, id := range slices.Clone(f.members) {
		f.crash(id)
	}
	f.stopping.Wait()
}

// setMembers changes the members; after the grace the change is in force.
func (f *fleet) setMembers(members []ident.DaemonID, grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
	now := time.Now()
	epoch := f.views[len(f.views)-1].epoch + 1
	f.views = append(f.views, view{members: members, epoch: epoch, at: now, inForce: now.Add(grace)})
}

// setCut cuts a daemon off or connects it again.
func (f *fleet) setCut(id ident.DaemonID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if cut && !f.cut[id] {
		f.cutAt[id] = time.Now()
	}
	f.cut[id] = cut
}

func (f *fleet) serving(id ident.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cut[id] || time.Since(f.cutAt[id]) < leaseTTL
}

// owner returns the ownership in the view of a daemon: a change ends the old ownership when the daemon has learnt of
// it, and starts the new one when it has learnt that it is in force. A daemon that is cut off learns nothing.
func (f *fleet) owner(id ident.DaemonID, number Slice) Ownership {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.cut[id] {
		now = f.cutAt[id]
	}
	now = now.Add(-f.lags[id])
	known := f.views[0]
	for _, v := range f.views[1:] {
		if !now.Before(v.at) {
			known = v
		}
	}
	n := len(known.members)
	if now.Before(known.inForce) || n == 0 {
		return Ownership{}
	}
	o := Ownership{Owner: known.members[int(number)%n], Epoch: known.epoch, InForceSince: known.inForce}
	if n > 1 {
		o.Backup = known.members[(int(number)+1)%n]
	}
	return o
}

// port is a daemon's access to the others.
type port struct {
	fleet *fleet
	self  ident.DaemonID
}

func deliver[Req, Resp any](ctx context.Context, p port, to ident.DaemonID, req Req,
	handle func(*Claimer, context.Context, Req) Resp,
) (Resp, error) {
	var none Resp
	if err := wait(ctx, p.fleet.delay); err != nil {
		return none, err
	}
	p.fleet.mu.Lock()
	c, cut := p.fleet.claimers[to], p.fleet.cut[to] || p.fleet.cut[p.self]
	p.fleet.mu.Unlock()
	if c == nil || cut {
		<-ctx.Done()
		return none, &lostError{}
	}
	resp := handle(c, ctx, req)
	p.fleet.mu.Lock()
	cut = p.fleet.cut[to] || p.fleet.cut[p.self]
	p.fleet.mu.Unlock()
	if cut {
		<-ctx.Done()
		return none, &lostError{}
	}
	return resp, wait(ctx, p.fleet.delay)
}

func (p port) Claim(ctx context.Context, to ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleClaim)
}

func (p port) Finish(ctx context.Context, to ident.DaemonID, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleFinish)
}

func (p port) Backup(ctx context.Context, to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleBackup)
}

// try claims a key for a request at a daemon.
func (f *fleet) try(t *testing.T, at ident.DaemonID, name, request string) (Decision, error) {
	t.Helper()
	f.mu.Lock()
	c := f.claimers[at]
	f.mu.Unlock()
	return c.Claim(t.Context(), "survey", ident.DigestOf(name), ident.DigestOf("body"), ident.RequestID(request))
}
