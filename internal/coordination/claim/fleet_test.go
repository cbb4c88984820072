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

// lostError is the error of a message that was lost.
type lostError struct{}

func (*lostError) Error() string { return "message lost" }

// memoryLog is an in-memory log service with faults.
type memoryLog struct {
	mu      sync.Mutex
	entries []extern.LogEntry
	// delay is the duration of a call; down makes calls fail.
	delay time.Duration
	down  bool
	// lateBy makes appends take effect only after that time, while their responses are lost; 0 for no delay.
	lateBy time.Duration
	// maxPerSecond limits the appends; 0 for no limit.
	maxPerSecond int
	second       int64
	count        int
	appends      int
	payloadBytes int
}

func (l *memoryLog) Append(ctx context.Context, stream extern.Stream, payload []byte) (ident.Offset, error) {
	if err := sleepOrDone(ctx, l.delay); err != nil {
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: err}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down || l.rateLimited() {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: stream, Err: &lostError{}}
	}
	if l.lateBy > 0 {
		time.AfterFunc(l.lateBy, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.store(payload)
		})
		return 0, &extern.LogError{Kind: extern.LogUnknown, Stream: stream, Err: &lostError{}}
	}
	return l.store(payload), nil
}

func (l *memoryLog) rateLimited() bool {
	if l.maxPerSecond == 0 {
		return false
	}
	now := time.Now().Unix()
	if now != l.second {
		l.second, l.count = now, 0
	}
	l.count++
	return l.count > l.maxPerSecond
}

func (l *memoryLog) store(payload []byte) ident.Offset {
	offset := ident.Offset(len(l.entries) + 1)
	l.entries = append(l.entries, extern.LogEntry{Offset: offset, Payload: slices.Clone(payload)})
	l.appends++
	l.payloadBytes += len(payload)
	return offset
}

func (l *memoryLog) Read(ctx context.Context, stream extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	if err := sleepOrDone(ctx, l.delay); err != nil {
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

func (l *memoryLog) update(f func(*memoryLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l)
}

func sleepOrDone(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// membership is a set of members, known from changedAt and in force from inForce.
type membership struct {
	members            []ident.DaemonID
	epoch              ident.Offset
	changedAt, inForce time.Time
}

// leaseTTL is how long a partitioned daemon still holds its lease.
const leaseTTL = 3 * time.Second

// fleet is a set of claimers that derive the owners of slices from a common history of members.
type fleet struct {
	mu       sync.Mutex
	claimers map[ident.DaemonID]*Claimer
	members  []ident.DaemonID
	// memberships is the history of members; viewDelays is how much later a daemon learns of a change.
	memberships   []membership
	viewDelays    map[ident.DaemonID]time.Duration
	partitionedAt map[ident.DaemonID]time.Time
	log           *memoryLog
	retention     time.Duration
	messageDelay  time.Duration
	partitioned   map[ident.DaemonID]bool
	runs          sync.WaitGroup
}

func newFleet(n int, retention time.Duration) *fleet {
	f := &fleet{
		claimers:      make(map[ident.DaemonID]*Claimer),
		log:           &memoryLog{delay: 5 * time.Millisecond},
		messageDelay:  1500 * time.Microsecond,
		partitioned:   make(map[ident.DaemonID]bool),
		retention:     retention,
		viewDelays:    make(map[ident.DaemonID]time.Duration),
		partitionedAt: make(map[ident.DaemonID]time.Time),
	}
	for i := range n {
		f.members = append(f.members, ident.DaemonID(fmt.Sprintf("d%02d", i)))
	}
	f.memberships = []membership{{members: f.members, epoch: 1, changedAt: time.Now(), inForce: time.Now()}}
	for _, id := range f.members {
		f.start(id, 1)
	}
	return f
}

func (f *fleet) start(id ident.DaemonID, incarnation ident.Incarnation) {
	c := &Claimer{Self: id, Incarnation: incarnation, Log: f.log, Peers: fakePeers{fleet: f, self: id}, Retention: f.retention}
	c.Owner = func(s Slice) Ownership { return f.owner(id, s) }
	c.HoldsLease = func() bool { return f.holdsLease(id) }
	f.mu.Lock()
	f.claimers[id] = c
	f.mu.Unlock()
	f.runs.Go(func() { c.Run(context.Background()) })
}

// crash stops a daemon, which loses its state.
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
	f.runs.Wait()
}

// setMembers changes the members; the change is in force after the grace period.
func (f *fleet) setMembers(members []ident.DaemonID, grace time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = members
	now := time.Now()
	epoch := f.memberships[len(f.memberships)-1].epoch + 1
	f.memberships = append(f.memberships, membership{members: members, epoch: epoch, changedAt: now, inForce: now.Add(grace)})
}

// setPartitioned cuts a daemon off from the others or connects it again.
func (f *fleet) setPartitioned(id ident.DaemonID, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if partitioned && !f.partitioned[id] {
		f.partitionedAt[id] = time.Now()
	}
	f.partitioned[id] = partitioned
}

func (f *fleet) holdsLease(id ident.DaemonID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.partitioned[id] || time.Since(f.partitionedAt[id]) < leaseTTL
}

// owner returns the ownership in the view of a daemon: a change ends the old ownership when the daemon learns of it
// and starts the new one when the daemon learns that it is in force. A partitioned daemon learns of no change.
func (f *fleet) owner(id ident.DaemonID, number Slice) Ownership {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if f.partitioned[id] {
		now = f.partitionedAt[id]
	}
	now = now.Add(-f.viewDelays[id])
	known := f.memberships[0]
	for _, v := range f.memberships[1:] {
		if !now.Before(v.changedAt) {
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

// fakePeers sends the messages of one daemon to the other claimers of the fleet.
type fakePeers struct {
	fleet *fleet
	self  ident.DaemonID
}

func deliver[Req, Resp any](ctx context.Context, p fakePeers, to ident.DaemonID, req Req,
	handle func(*Claimer, context.Context, Req) Resp,
) (Resp, error) {
	var none Resp
	if err := sleepOrDone(ctx, p.fleet.messageDelay); err != nil {
		return none, err
	}
	p.fleet.mu.Lock()
	c, partitioned := p.fleet.claimers[to], p.fleet.partitioned[to] || p.fleet.partitioned[p.self]
	p.fleet.mu.Unlock()
	if c == nil || partitioned {
		<-ctx.Done()
		return none, &lostError{}
	}
	resp := handle(c, ctx, req)
	p.fleet.mu.Lock()
	partitioned = p.fleet.partitioned[to] || p.fleet.partitioned[p.self]
	p.fleet.mu.Unlock()
	if partitioned {
		<-ctx.Done()
		return none, &lostError{}
	}
	return resp, sleepOrDone(ctx, p.fleet.messageDelay)
}

func (p fakePeers) Claim(ctx context.Context, to ident.DaemonID, req *wire.ClaimRequest) (*wire.ClaimResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleClaim)
}

func (p fakePeers) Finish(ctx context.Context, to ident.DaemonID, req *wire.FinishRequest) (*wire.FinishResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleFinish)
}

func (p fakePeers) Backup(ctx context.Context, to ident.DaemonID, req *wire.BackupRequest) (*wire.BackupResponse, error) {
	return deliver(ctx, p, to, req, (*Claimer).HandleBackup)
}

// claimAt claims a key for a request at a daemon.
func (f *fleet) claimAt(t *testing.T, at ident.DaemonID, name, request string) (Decision, error) {
	t.Helper()
	f.mu.Lock()
	c := f.claimers[at]
	f.mu.Unlock()
	return c.Claim(t.Context(), "survey", ident.DigestOf(name), ident.DigestOf("body"), ident.RequestID(request))
}
