// Package leader elects one daemon of the fleet as the leader for a named task. The leader is recorded in the platform
// store: each write is conditional on the topic not having changed since it was last read. The leader holds a lease
// that it renews. Terms only grow and serve as fencing tokens for what the leader does.
package leader

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

const (
	// leaseDuration is how long the leader may act, counted from the sending of the last confirmed write.
	leaseDuration = 1500 * time.Millisecond
	// renewInterval is the age of the lease at which the leader renews it. One renewal may fail within a lease.
	renewInterval = 600 * time.Millisecond
	stepInterval  = 50 * time.Millisecond
	// retryDelay is the pause after a failed call of the store.
	retryDelay = 250 * time.Millisecond
	// rankDelay is the additional delay per takeover rank, so that candidates don't all write at the same time.
	rankDelay = 350 * time.Millisecond
	// takeoverMargin is added to the time for which a record has to stay unchanged before another daemon takes over.
	takeoverMargin = 250 * time.Millisecond
)

// record is the value kept in the store for an election.
type record struct {
	Leader ident.DaemonID `json:"holder"`
	// Incarnation distinguishes a restarted leader from the process that wrote the record.
	Incarnation uint64       `json:"incarnation"`
	Term        ident.Offset `json:"term"`
}

// Elector takes part in one leader election. Its fields are set before Run.
type Elector struct {
	Name        string
	Self        ident.DaemonID
	Incarnation uint64
	Store       extern.Store
	// TakeoverDelay is an additional delay before a takeover, for effects of the former leader that can't be fenced. It
	// is 0 if all that the leader gives orders to check the term.
	TakeoverDelay time.Duration
	// BootClock returns a clock that also counts the time for which the VM was suspended.
	BootClock func() time.Duration
	// TakeoverRank returns this daemon's position among the candidates for a takeover, 0 for the first.
	TakeoverRank func() int
	// HasOtherLeader reports whether another daemon is known to be the leader.
	HasOtherLeader func() bool
	// Eligible reports whether this daemon may become the leader.
	Eligible func() bool

	mu sync.Mutex
	// term is the term of this daemon; 0 if it isn't the leader.
	term ident.Offset
	// leaseEnd is the end of the lease on BootClock.
	leaseEnd time.Duration
	// topicEnd is the end offset of the topic as of the last write or read.
	topicEnd ident.Offset

	// seenRecord is the record as last read, seenTopicEnd the end of the topic and seenAt the time on BootClock then. They
	// count only while seenValid is true.
	seenRecord   record
	seenTopicEnd ident.Offset
	seenAt       time.Duration
	seenValid    bool
	fenced       bool
	// firstEra is the era of the store when it was first read; firstRead says that it was.
	firstEra  ident.Era
	firstRead bool
}

// Term returns the current term while this daemon is the leader and its lease has not expired, else 0.
func (e *Elector) Term() ident.Offset {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == 0 || e.BootClock() >= e.leaseEnd {
		return 0
	}
	return e.term
}

// StepDown ends the term, because something was fenced by a higher term.
func (e *Elector) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	klog.InfoS("Duty lost to a higher term", "duty", e.Name, "term", e.term)
	e.term, e.fenced = 0, true
}

// Run takes part in the election until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := stepInterval
		if err := e.step(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("Duty not settled", "duty", e.Name, "reason", err.Error())
			delay = retryDelay
		}
		scope.Sleep(ctx, delay)
	}
}

func (e *Elector) step(ctx context.Context) error {
	e.mu.Lock()
	term, leaseEnd, topicEnd := e.term, e.leaseEnd, e.topicEnd
	e.mu.Unlock()
	now := e.BootClock()
	switch {
	case term > 0 && now >= leaseEnd:
		e.mu.Lock()
		e.term = 0
		e.mu.Unlock()
		klog.InfoS("Duty lapsed", "duty", e.Name, "term", term, "overdueMs", (now - leaseEnd).Milliseconds())
		e.seenValid = false
		return nil
	case term > 0 && leaseEnd-now < leaseDuration-renewInterval:
		return e.writeRecord(ctx, term, topicEnd)
	case term > 0:
		return nil
	case !e.Eligible() || e.HasOtherLeader():
		e.seenValid = false
		return nil
	default:
		return e.compete(ctx, now)
	}
}

// compete takes over once the record has stayed unchanged for long enough.
func (e *Elector) compete(ctx context.Context, now time.Duration) error {
	if !e.seenValid {
		return e.readRecord(ctx, now)
	}
	wait := time.Duration(e.TakeoverRank()) * rankDelay
	switch {
	case e.mayHideLeader():
		wait += leaseDuration + e.TakeoverDelay + takeoverMargin
	case e.seenRecord.Leader == "":
		wait += e.TakeoverDelay
	case e.seenRecord.Leader != e.Self:
		wait += leaseDuration + e.TakeoverDelay + takeoverMargin
	}
	if now-e.seenAt < wait {
		return nil
	}
	topicEnd := e.seenTopicEnd
	e.seenValid = false
	return e.writeRecord(ctx, 0, topicEnd)
}

// mayHideLeader reports whether the record as last read is from before a restore of the store, so that another daemon may have
// become the leader in the history that was lost.
func (e *Elector) mayHideLeader() bool {
	if e.seenRecord == (record{}) {
		return e.seenTopicEnd.Era() > e.firstEra
	}
	return e.seenRecord.Term.Era() < e.seenTopicEnd.Era()
}

// readRecord reads the election's record from the store.
func (e *Elector) readRecord(ctx context.Context, now time.Duration) error {
	batch, err := e.Store.Newest(ctx, extern.TopicLeaders)
	if err != nil {
		return err
	}
	e.seenRecord, e.seenTopicEnd, e.seenAt, e.seenValid = record{}, batch.Next, now, true
	if !e.firstRead {
		e.firstEra, e.firstRead = batch.Next.Era(), true
	}
	for _, r := range batch.Records {
		if r.Key != e.Name {
			continue
		}
		if err := json.Unmarshal(r.Value, &e.seenRecord); err != nil {
			klog.InfoS("Duty record could not be decoded", "duty", e.Name, "offset", r.Offset, "reason", err.Error())
		}
	}
	return nil
}

// writeRecord renews the given term, or begins a new one if it is 0. The write is conditional on the topic still ending
// at topicEnd.
func (e *Elector) writeRecord(ctx context.Context, term, topicEnd ident.Offset) error {
	newTerm := term
	if term == 0 {
		// Every record advances the end of the topic and every restore of the store its era, so later terms are higher.
		newTerm = topicEnd + 1
	}
	value, err := json.Marshal(record{Leader: e.Self, Incarnation: e.Incarnation, Term: newTerm})
	if err != nil {
		return err
	}
	sentAt := e.BootClock()
	offset, err := e.Store.Put(ctx, extern.TopicLeaders, e.Name, value, &topicEnd)
	if storeErr, ok := errors.AsType[*extern.StoreError](err); ok && storeErr.Kind == extern.StoreConflict {
		return e.resolveConflict(ctx, term)
	}
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if term == 0 {
		klog.InfoS("Duty taken", "duty", e.Name, "term", newTerm, "before", e.seenRecord.Leader)
	}
	e.term, e.leaseEnd, e.topicEnd = newTerm, sentAt+leaseDuration, offset+1
	return nil
}

// Resign ends the term and clears the leader in the store, so that other daemons need not wait for the lease to expire.
func (e *Elector) Resign(ctx context.Context) {
	e.mu.Lock()
	term, topicEnd := e.term, e.topicEnd
	e.term = 0
	e.mu.Unlock()
	if term == 0 {
		return
	}
	value, err := json.Marshal(record{Incarnation: e.Incarnation, Term: term})
	if err == nil {
		_, err = e.Store.Put(ctx, extern.TopicLeaders, e.Name, value, &topicEnd)
	}
	if err != nil {
		klog.InfoS("Duty not released, other daemons wait for its lease to expire",
			"duty", e.Name, "term", term, "reason", err.Error())
		return
	}
	klog.InfoS("Duty released", "duty", e.Name, "term", term)
}

// resolveConflict handles a write whose condition failed. An earlier write of this daemon may have taken effect
// although its response was lost; then the term goes on.
func (e *Elector) resolveConflict(ctx context.Context, term ident.Offset) error {
	now := e.BootClock()
	if err := e.readRecord(ctx, now); err != nil {
		return err
	}
	own := e.seenRecord.Leader == e.Self && e.seenRecord.Incarnation == e.Incarnation
	if term > 0 && term.Era() < e.seenTopicEnd.Era() && e.mayHideLeader() && e.Term() == term {
		// The store was restored. While the lease lasts, nobody else leads.
		klog.InfoS("Duty taken again after a restore of the store", "duty", e.Name, "before", term, "topicEnd", e.seenTopicEnd)
		e.seenValid = false
		return e.writeRecord(ctx, 0, e.seenTopicEnd)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if term > 0 && own && e.seenRecord.Term == term {
		e.topicEnd = e.seenTopicEnd
		return nil
	}
	if term > 0 {
		klog.InfoS("Duty lost to another daemon", "duty", e.Name, "term", term, "holder", e.seenRecord.Leader)
	}
	e.term = 0
	return nil
}
