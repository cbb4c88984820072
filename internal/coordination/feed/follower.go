// Package feed follows what operators and upstreams publish in the platform's store, and passes on to other daemons
// what they miss while the store doesn't answer them.
package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// readWait is how long the store holds a read without news. It bounds how long a silent connection goes unnoticed.
	readWait = 2500 * time.Millisecond
	// gatherLeast, and up to twice as much, is how long registrations are gathered before the next read: many come at once.
	// Several readers at random moments see a change within a third of it.
	gatherLeast = 200 * time.Millisecond
	// idleLeast, and up to twice as much, is the time between reads of a daemon that hears from readers. It grows by
	// idlePerDaemon, so that all together make four such reads of a topic a second.
	idleLeast     = 5 * time.Second
	idlePerDaemon = 250 * time.Millisecond
	// staleAfter is how long the list of upstreams may stand still before a daemon that hears from readers reads itself: all
	// upstreams renew their registrations about once a second.
	staleAfter = 1500 * time.Millisecond
	// readerTick is how often such a daemon looks whether it has to read.
	readerTick = 100 * time.Millisecond
	// pauseLeast and pauseMost bound the pause after a failed call; the store's return must be seen well within the two
	// seconds in which lapsed registrations come back.
	pauseLeast = 100 * time.Millisecond
	pauseMost  = 500 * time.Millisecond
	// lapsedFor is how long an upstream is kept whose registration ended during trouble of the store: it may come back, but
	// may also have left, and then takes no work two seconds later. A request on its way fits in between.
	lapsedFor = 1500 * time.Millisecond
	// troubleFor is how long after a failed call an ended registration may be due to the store.
	troubleFor = 3 * time.Second
)

// Follower applies the store's records to the board. Its fields are set before Run.
type Follower struct {
	Store     extern.Store
	Decoder   extern.Decoder
	Snapshots *view.Snapshots
	// InitialVersionAge is how long ago versions are taken to have been named that stood in the store at the start.
	InitialVersionAge time.Duration
	// ReadsContinuously reports whether this daemon reads a topic all the time; the others hear from it, and read now and then. Nil for
	// always.
	ReadsContinuously func(extern.Topic) bool
	// FleetSize returns the number of daemons; nil for a small fleet.
	FleetSize func() int
	// MaxHeartbeatPeriod returns the longest time between two beats from a daemon that reads; nil for a small fleet.
	MaxHeartbeatPeriod func() time.Duration
	// OnChange is called after the board has changed; nil for none.
	OnChange func()

	mu        sync.Mutex
	topics    map[extern.Topic]*topicState
	upstreams map[ident.UpstreamID]*view.Upstream
	// leaving holds upstreams whose registration ended while the store was in trouble, and until when they are kept.
	leaving map[ident.UpstreamID]time.Time

	// answeredAt and failedAt are when calls of the store last succeeded and failed; nil for never.
	answeredAt, failedAt atomic.Pointer[time.Time]
}

// topicState is how far a topic has been read.
type topicState struct {
	next   ident.Offset
	loaded bool
	// changed follows the last record that told of more than the age of what was known, advancedAt is when next last grew.
	changed    ident.Offset
	advancedAt time.Time
	// since is the offset from which on all changes are known: the state was read as a whole there.
	since ident.Offset
	// newest keeps the records for peers, without those that changed nothing. A record without a value removes its key.
	newest map[string]extern.KeyedRecord
}

func (f *Follower) state(topic extern.Topic) *topicState {
	if f.topics == nil {
		f.topics = map[extern.Topic]*topicState{}
		f.upstreams = map[ident.UpstreamID]*view.Upstream{}
		f.leaving = map[ident.UpstreamID]time.Time{}
	}
	s := f.topics[topic]
	if s == nil {
		s = &topicState{newest: map[string]extern.KeyedRecord{}}
		f.topics[topic] = s
	}
	return s
}

// Run follows both topics until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, topic := range []extern.Topic{extern.TopicOperators, extern.TopicUpstreams} {
		wg.Go(func() { f.follow(ctx, topic) })
	}
	wg.Wait()
}

func (f *Follower) follow(ctx context.Context, topic extern.Topic) {
	pause := pauseLeast
	failing := false
	for ctx.Err() == nil {
		err := f.step(ctx, topic)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				klog.InfoS("Store regained", "topic", topic, "next", f.NextOffset(topic))
			}
			failing, pause = false, pauseLeast
			if topic == extern.TopicUpstreams {
				scope.Sleep(ctx, gatherLeast+rand.N(gatherLeast))
			}
			f.rest(ctx, topic)
			continue
		}
		if !failing {
			klog.InfoS("Store lost", "topic", topic, "next", f.NextOffset(topic), "reason", err.Error())
		}
		failing = true
		note(&f.failedAt)
		scope.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, pauseMost)
		if f.known(topic) {
			f.rest(ctx, topic)
		}
	}
}

// known reports whether a topic was read at least once.
func (f *Follower) known(topic extern.Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).loaded
}

// rest waits until the next read is due for a daemon that hears from others.
func (f *Follower) rest(ctx context.Context, topic extern.Topic) {
	least := idleLeast
	if f.FleetSize != nil {
		least = max(least, time.Duration(f.FleetSize())*idlePerDaemon)
	}
	idle := time.Now().Add(least + rand.N(least))
	for ctx.Err() == nil && time.Now().Before(idle) {
		if f.ReadsContinuously == nil || f.ReadsContinuously(topic) || f.stale(topic) {
			return
		}
		scope.Sleep(ctx, readerTick)
	}
}

// stale reports whether nobody seems to read the list of upstreams.
func (f *Follower) stale(topic extern.Topic) bool {
	if topic != extern.TopicUpstreams {
		return false
	}
	patience := staleAfter
	if f.MaxHeartbeatPeriod != nil {
		patience += f.MaxHeartbeatPeriod()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.state(topic).advancedAt) > patience
}

// step makes one read and applies it.
func (f *Follower) step(ctx context.Context, topic extern.Topic) error {
	f.mu.Lock()
	s := f.state(topic)
	loaded, next := s.loaded, s.next
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx, topic)
	}
	batch, err := f.Store.Read(ctx, topic, next, readWait)
	if failed, ok := errors.AsType[*extern.StoreError](err); ok && failed.Kind == extern.StoreExpired {
		klog.InfoS("History of the store is gone, reading the newest records", "topic", topic, "next", next)
		return f.load(ctx, topic)
	}
	if err != nil {
		return err
	}
	f.answered()
	f.apply(topic, batch.Records, batch.Next, false)
	return nil
}

// load reads the newest record of each key; keys that are missing are gone.
func (f *Follower) load(ctx context.Context, topic extern.Topic) error {
	batch, err := f.Store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	f.answered()
	f.apply(topic, batch.Records, batch.Next, true)
	return nil
}

func (f *Follower) answered() { note(&f.answeredAt) }

func note(at *atomic.Pointer[time.Time]) {
	now := time.Now()
	at.Store(&now)
}

// neverAge is the age of an answer that never came.
const neverAge = time.Hour

// StoreAge returns the time since the store last answered; an hour if it never did.
func (f *Follower) StoreAge() time.Duration {
	if at := f.answeredAt.Load(); at != nil {
		return time.Since(*at)
	}
	return neverAge
}

// StoreReachable reports whether the store answered the last call.
func (f *Follower) StoreReachable() bool {
	answered, failed := f.answeredAt.Load(), f.failedAt.Load()
	return answered != nil && (failed == nil || failed.Before(*answered))
}

// LastChangeOffset returns the offset that follows the last record of a topic that told of more than the age of what was known.
func (f *Follower) LastChangeOffset(topic extern.Topic) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).changed
}

// NextOffset returns the offset up to which a topic has been read.
func (f *Follower) NextOffset(topic extern.Topic) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).next
}

// apply takes records that lead up to next. A whole batch replaces what was known.
func (f *Follower) apply(topic extern.Topic, records []extern.KeyedRecord, next ident.Offset, whole bool) {
	f.mu.Lock()
	s := f.state(topic)
	if s.loaded && next < s.next {
		f.mu.Unlock()
		return
	}
	changed := false
	if whole {
		changed = f.dropMissing(topic, s, records, next)
		s.since = next
	}
	for _, r := range records {
		if old, ok := s.newest[r.Key]; ok && old.Offset >= r.Offset {
			continue
		}
		if topic == extern.TopicUpstreams && f.renewed(s, r) {
			continue
		}
		if r.SeenAt.IsZero() {
			r.SeenAt = time.Now()
		}
		s.newest[r.Key] = r
		s.changed = max(s.changed, r.Offset+1)
		changed = f.applyRecord(topic, r) || changed
	}
	if next > s.next || !s.loaded {
		s.advancedAt = time.Now()
	}
	s.next, s.loaded = next, true
	if changed && topic == extern.TopicUpstreams {
		f.publishUpstreams(next)
	}
	f.mu.Unlock()
	if changed && f.OnChange != nil {
		f.OnChange()
	}
}

// renewed reports whether a record says nothing but that its upstream is still there.
func (f *Follower) renewed(s *topicState, r extern.KeyedRecord) bool {
	known := f.upstreams[ident.UpstreamID(r.Key)]
	if old, ok := s.newest[r.Key]; !ok || known == nil || len(old.Value) == 0 {
		return false
	}
	u, ok := f.Decoder.Decode(extern.TopicUpstreams, r).(*view.Upstream)
	return ok && u.SameRegistration(known)
}

// dropMissing removes upstreams that a whole list lacks.
func (f *Follower) dropMissing(topic extern.Topic, s *topicState, records []extern.KeyedRecord, next ident.Offset) bool {
	if topic != extern.TopicUpstreams {
		return false
	}
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
	}
	changed := false
	for key, r := range s.newest {
		if !listed[key] && len(r.Value) > 0 {
			removal := extern.KeyedRecord{Offset: max(next-1, r.Offset), Key: key, SeenAt: time.Now()}
			s.newest[key] = removal
			s.changed = max(s.changed, next)
			changed = f.removeUpstream(ident.UpstreamID(key), removal.SeenAt) || changed
		}
	}
	return changed
}

// applyRecord takes one record and reports whether anything changed.
func (f *Follower) applyRecord(topic extern.Topic, r extern.KeyedRecord) bool {
	switch c := f.Decoder.Decode(topic, r).(type) {
	case *view.Config:
		if !f.Snapshots.SetConfig(c) {
			return false
		}
		klog.InfoS("Configuration applied", "version", c.Version, "offset", r.Offset, "routes", len(c.Routes),
			"organisations", len(c.Organisations), "storeAgeMs", f.StoreAge().Milliseconds())
		return true
	case *view.Weights:
		c.NamedAt, c.NamedAtObserved = time.Now(), f.state(topic).loaded
		if !c.NamedAtObserved {
			c.NamedAt = c.NamedAt.Add(-f.InitialVersionAge)
		}
		if !f.Snapshots.SetWeights(*c) {
			return false
		}
		klog.InfoS("Weights named", "model", c.Model, "version", c.Version, "offset", r.Offset)
		return true
	case *view.Rollout:
		c.SeenAt = time.Now()
		if !f.Snapshots.SetRollout(*c) {
			return false
		}
		klog.InfoS("Rollout asked for", "service", c.Service, "release", c.Release, "offset", r.Offset)
		return true
	case *view.Upstream:
		return f.setUpstream(c)
	case *view.UpstreamRemoved:
		return f.removeUpstream(c.ID, r.SeenAt)
	case *view.Ignored:
		klog.InfoS("Record ignored", "topic", topic, "key", r.Key, "offset", r.Offset, "reason", c.Reason)
		return f.removeUpstream(ident.UpstreamID(r.Key), r.SeenAt)
	}
	return false
}

func (f *Follower) setUpstream(u *view.Upstream) bool {
	u.SeenAt = time.Now()
	old := f.upstreams[u.ID]
	delete(f.leaving, u.ID)
	f.upstreams[u.ID] = u
	if old == nil || old.State != u.State || old.Address != u.Address || old.Incarnation != u.Incarnation {
		klog.InfoS("Upstream registered", "upstream", u.ID, "service", u.Service, "address", u.Address, "state", u.State,
			"release", u.Release, "weights", u.Weights, "offset", u.Offset)
	}
	return true
}

// removeUpstream takes an upstream off the list whose registration was seen to have ended. If the store was in trouble and
// the upstream may come back, that is later, counted from when the first daemon saw it: the upstream may as well have left.
func (f *Follower) removeUpstream(id ident.UpstreamID, seenAt time.Time) bool {
	u := f.upstreams[id]
	if u == nil {
		return false
	}
	kept := time.Until(seenAt.Add(lapsedFor))
	if f.troubled() && u.State == view.UpstreamReady && kept > 0 {
		if _, ok := f.leaving[id]; !ok {
			f.leaving[id] = time.Now().Add(kept)
			time.AfterFunc(kept, f.sweep)
			klog.InfoS("Upstream lapsed during trouble of the store", "upstream", id, "keptMs", kept.Milliseconds())
		}
		return false
	}
	delete(f.upstreams, id)
	delete(f.leaving, id)
	klog.InfoS("Upstream gone", "upstream", id, "service", u.Service)
	return true
}

func (f *Follower) troubled() bool {
	at := f.failedAt.Load()
	return at != nil && time.Since(*at) < troubleFor
}

// sweep takes upstreams off the list whose time to come back has passed.
func (f *Follower) sweep() {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for id, until := range f.leaving {
		if time.Now().Before(until) {
			continue
		}
		delete(f.leaving, id)
		delete(f.upstreams, id)
		changed = true
		klog.InfoS("Upstream gone", "upstream", id, "lapsed", true)
	}
	if changed {
		f.publishUpstreams(f.state(extern.TopicUpstreams).next)
	}
}

func (f *Follower) publishUpstreams(next ident.Offset) {
	byID := make(map[ident.UpstreamID]*view.Upstream, len(f.upstreams))
	for id, u := range f.upstreams {
		byID[id] = u
	}
	f.Snapshots.SetUpstreams(view.NewUpstreams(byID, next))
}

// Changes is what a daemon passes on of a topic.
type Changes struct {
	extern.StoreBatch
	// Complete says that the records are all that there are: keys that they lack have gone.
	Complete bool
}

// KnownSinceOffset returns the offset from which on this daemon knows of all changes of a topic.
func (f *Follower) KnownSinceOffset(topic extern.Topic) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).since
}

// ChangesSince returns the newest records from the offset on, or all upstreams if some may have left since that this daemon never
// knew of.
func (f *Follower) ChangesSince(topic extern.Topic, from ident.Offset) Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(topic)
	out := Changes{Complete: topic == extern.TopicUpstreams && from < s.since}
	out.Next = s.next
	for _, r := range s.newest {
		if out.Complete && len(r.Value) > 0 || !out.Complete && r.Offset >= from {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// ApplyChanges applies what a peer has read beyond this daemon.
func (f *Follower) ApplyChanges(topic extern.Topic, c Changes) {
	if c.Next <= f.NextOffset(topic) {
		return
	}
	klog.InfoS("Records of the store came from a peer", "topic", topic, "records", len(c.Records), "whole", c.Complete,
		"next", c.Next)
	f.apply(topic, c.Records, c.Next, c.Complete)
}

// AdvanceTo takes that a peer has read up to next and found no change beyond what this daemon has.
func (f *Follower) AdvanceTo(topic extern.Topic, next ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.state(topic); s.loaded && next > s.next {
		s.next, s.advancedAt = next, time.Now()
	}
}

// Loaded reports whether configuration and upstreams are known.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(extern.TopicOperators).loaded && f.state(extern.TopicUpstreams).loaded && f.Snapshots.Config() != nil
}
