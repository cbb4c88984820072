// Package leader gives a duty of the fleet to one daemon at a time. Who holds it stands in the platform's store, written
// under the condition that nothing was written since; the number of a term only grows and fences what the holder does.
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
	// leaseFor is how long after the last confirmed renewal was sent the holder may act.
	leaseFor = 1500 * time.Millisecond
	// renewEvery is how often the holder renews: one renewal may fail within a lease.
	renewEvery = 600 * time.Millisecond
	tick       = 50 * time.Millisecond
	// retryPause follows a failed call of the store.
	retryPause = 250 * time.Millisecond
	// rankPause delays daemons further down the order, so that they don't write at once.
	rankPause = 350 * time.Millisecond
	// takeoverMargin is added to the time for which a record has to stay unchanged.
	takeoverMargin = 250 * time.Millisecond
)

// record is what the store keeps of a duty.
type record struct {
	Holder ident.DaemonID `json:"holder"`
	// Incarnation tells a restarted holder from the one that wrote.
	Incarnation uint64       `json:"incarnation"`
	Term        ident.Offset `json:"term"`
}

// Elector competes for a duty. Its fields are set before Run.
type Elector struct {
	Name        string
	Self        ident.DaemonID
	Incarnation uint64
	Store       extern.Store
	// TakeoverDelay is how long what one holder did bars another one from acting; 0 where terms are checked by those acted on.
	TakeoverDelay time.Duration
	// BootClock is a clock that also counts the time for which the VM was suspended.
	BootClock func() time.Duration
	// TakeoverRank is this daemon's place among those that may take over, 0 for the first.
	TakeoverRank func() int
	// HasOtherLeader reports whether another daemon says that it holds the duty.
	HasOtherLeader func() bool
	// Eligible reports whether this daemon may hold the duty.
	Eligible func() bool

	mu sync.Mutex
	// term is that of this daemon; 0 if it doesn't hold the duty.
	term ident.Offset
	// until is the end of the lease on the clock of Elapsed.
	until time.Duration
	// end is where the topic ended when it was last read or written.
	end ident.Offset

	seen      record
	seenEnd   ident.Offset
	seenAt    time.Duration
	seenValid bool
	fencedBy  bool
}

// Term returns the number of the term while this daemon holds the duty, else 0.
func (k *Elector) Term() ident.Offset {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.term == 0 || k.BootClock() >= k.until {
		return 0
	}
	return k.term
}

// StepDown ends the term: somebody has acted under a higher number.
func (k *Elector) StepDown() {
	k.mu.Lock()
	defer k.mu.Unlock()
	klog.InfoS("Duty lost to a higher term", "duty", k.Name, "term", k.term)
	k.term, k.fencedBy = 0, true
}

// Run competes for the duty until ctx ends.
func (k *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := tick
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			klog.InfoS("Duty not settled", "duty", k.Name, "reason", err.Error())
			pause = retryPause
		}
		scope.Sleep(ctx, pause)
	}
}

func (k *Elector) step(ctx context.Context) error {
	k.mu.Lock()
	term, until, end := k.term, k.until, k.end
	k.mu.Unlock()
	now := k.BootClock()
	switch {
	case term > 0 && now >= until:
		k.mu.Lock()
		k.term = 0
		k.mu.Unlock()
		klog.InfoS("Duty lapsed", "duty", k.Name, "term", term, "overdueMs", (now - until).Milliseconds())
		k.seenValid = false
		return nil
	case term > 0 && until-now < leaseFor-renewEvery:
		return k.write(ctx, term, end)
	case term > 0:
		return nil
	case !k.Eligible() || k.HasOtherLeader():
		k.seenValid = false
		return nil
	default:
		return k.compete(ctx, now)
	}
}

// compete takes the duty once its record has not changed for long enough.
func (k *Elector) compete(ctx context.Context, now time.Duration) error {
	if !k.seenValid {
		return k.look(ctx, now)
	}
	wait := time.Duration(k.TakeoverRank()) * rankPause
	switch k.seen.Holder {
	case k.Self:
	case "":
		wait += k.TakeoverDelay
	default:
		wait += leaseFor + k.TakeoverDelay + takeoverMargin
	}
	if now-k.seenAt < wait {
		return nil
	}
	end := k.seenEnd
	k.seenValid = false
	return k.write(ctx, 0, end)
}

// look reads the record.
func (k *Elector) look(ctx context.Context, now time.Duration) error {
	batch, err := k.Store.Newest(ctx, extern.TopicLeaders)
	if err != nil {
		return err
	}
	k.seen, k.seenEnd, k.seenAt, k.seenValid = record{}, batch.Next, now, true
	for _, r := range batch.Records {
		if r.Key != k.Name {
			continue
		}
		if err := json.Unmarshal(r.Value, &k.seen); err != nil {
			klog.InfoS("Duty record ignored", "duty", k.Name, "offset", r.Offset, "reason", err.Error())
		}
	}
	return nil
}

// write renews the term, or begins one if it is 0. It needs the topic to end where it was last seen to end.
func (k *Elector) write(ctx context.Context, term, end ident.Offset) error {
	next := term
	if term == 0 {
		// Every record moves the end, so that a later term has a higher number.
		next = end + 1
	}
	value, err := json.Marshal(record{Holder: k.Self, Incarnation: k.Incarnation, Term: next})
	if err != nil {
		return err
	}
	sent := k.BootClock()
	offset, err := k.Store.Put(ctx, extern.TopicLeaders, k.Name, value, &end)
	if failed, ok := errors.AsType[*extern.StoreError](err); ok && failed.Kind == extern.StoreConflict {
		return k.conflict(ctx, term)
	}
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if term == 0 {
		klog.InfoS("Duty taken", "duty", k.Name, "term", next, "before", k.seen.Holder)
	}
	k.term, k.until, k.end = next, sent+leaseFor, offset+1
	return nil
}

// Resign ends the term and tells the others that they need not wait for the lease to lapse.
func (k *Elector) Resign(ctx context.Context) {
	k.mu.Lock()
	term, end := k.term, k.end
	k.term = 0
	k.mu.Unlock()
	if term == 0 {
		return
	}
	value, err := json.Marshal(record{Incarnation: k.Incarnation, Term: term})
	if err == nil {
		_, err = k.Store.Put(ctx, extern.TopicLeaders, k.Name, value, &end)
	}
	if err != nil {
		klog.InfoS("Duty not released, its lease lapses", "duty", k.Name, "term", term, "reason", err.Error())
		return
	}
	klog.InfoS("Duty released", "duty", k.Name, "term", term)
}

// conflict settles a write whose condition failed: an earlier one may have taken effect without an answer.
func (k *Elector) conflict(ctx context.Context, term ident.Offset) error {
	now := k.BootClock()
	if err := k.look(ctx, now); err != nil {
		return err
	}
	mine := k.seen.Holder == k.Self && k.seen.Incarnation == k.Incarnation
	k.mu.Lock()
	defer k.mu.Unlock()
	if term > 0 && mine && k.seen.Term == term {
		k.end = k.seenEnd
		return nil
	}
	if term > 0 {
		klog.InfoS("Duty lost", "duty", k.Name, "term", term, "holder", k.seen.Holder)
	}
	k.term = 0
	return nil
}
