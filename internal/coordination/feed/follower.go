// Package feed follows the operators' and upstreams' topics of the platform store and publishes the configuration,
// weight versions, rollouts and upstreams found there as snapshots. It also exchanges records with other daemons, so
// that a daemon that can't reach the store, or reads it only now and then, gets them from its peers.
package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// longPollWait is how long the store holds a read without new records before it responds. It also bounds how long a
	// dead connection goes unnoticed.
	longPollWait = 2500 * time.Millisecond
	// The delay between reads of registrations is random between minBatchDelay and twice that, because many
	// registrations arrive at the same time. With several readers at random moments, one of them sees a change
	// within a third of that delay.
	minBatchDelay = 200 * time.Millisecond
	// A daemon that gets records from peers reads a topic at a random interval between minIdleInterval and twice that.
	// The interval grows by idleIntervalPerDaemon, so that all these daemons together make about four reads of a topic
	// per second.
	minIdleInterval       = 5 * time.Second
	idleIntervalPerDaemon = 250 * time.Millisecond
	// staleAfter is how long the list of upstreams may get no new records before a daemon that relies on its peers
	// reads it itself. All upstreams renew their registrations about once a second.
	staleAfter = 1500 * time.Millisecond
	// dueCheckInterval is how often a daemon that relies on its peers checks whether it has to read.
	dueCheckInterval = 100 * time.Millisecond
	// The delay after a failed call doubles from minRetryDelay to maxRetryDelay. The daemon must notice that the store
	// has recovered well within the two seconds in which expired registrations are renewed.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// expiredRetention is how long an upstream is retained whose registration ended while the store was failing. It may
	// register again, but may also have left, and then it accepts no requests two seconds later. The retention is
	// shorter than that by the time of a request in flight.
	expiredRetention = 1500 * time.Millisecond
	// restoreWindow is how long after a restore of the store upstreams may be missing that have not registered again yet.
	restoreWindow = 3 * time.Second
	// maxObservationGap is how long a topic may not have been read for the naming of a version to count as observed. A request on older
	// weights takes a second to its engine, and half of that is left to heartbeats.
	maxObservationGap = 500 * time.Millisecond
	// storeFailureWindow is how long after a failed call the end of a registration may be due to the store.
	storeFailureWindow = 3 * time.Second
)

// Follower applies the records of the store to Snapshots. Its fields are set before Run.
type Follower struct {
	Store     extern.Store
	Decoder   extern.Decoder
	Snapshots *view.Snapshots
	// InitialVersionAge is the assumed age, at the start of the daemon, of weight versions that its first read of the store finds. It counts
	// from the last failed call of the store if there was one: they may have been named at the end of its outage.
	InitialVersionAge time.Duration
	// BoundsCold reports whether coldness bounds the requests to upstreams of a service, so that changes of it count. Nil
	// means never.
	BoundsCold func(view.ServiceID) bool
	// ReadsContinuously reports whether this daemon follows a topic continuously. The other daemons get the records
	// from it and read the store only now and then. Nil means always.
	ReadsContinuously func(extern.Topic) bool
	// FleetSize returns the number of daemons; nil for a small fleet.
	FleetSize func() int
	// MaxHeartbeatPeriod returns the longest time between two heartbeats of a daemon that reads continuously; nil for a
	// small fleet.
	MaxHeartbeatPeriod func() time.Duration
	// OnChange is called after Snapshots has changed; nil for none.
	OnChange func()

	mu        sync.Mutex
	topics    map[extern.Topic]*topicState
	upstreams map[ident.UpstreamID]*view.Upstream
	// retainedUntil holds the upstreams whose registration ended while the store was failing, and until when they are
	// retained.
	retainedUntil map[ident.UpstreamID]time.Time
	registrations registrations
	pauses        pauseDetector
	// evacuationsUntil holds the evacuations that a restored store lacks, by their keys, and until when they are retained.
	evacuationsUntil map[string]time.Time
	// restoredAt is when this daemon learned that the store had returned from an older copy; zero if it has not.
	restoredAt time.Time

	// lastSuccessAt and lastFailureAt are when calls of the store last succeeded and failed; nil for never.
	lastSuccessAt, lastFailureAt atomic.Pointer[time.Time]
}

// topicState is the state of reading one topic.
type topicState struct {
	next   ident.Offset
	loaded bool
	// changed is the offset after the last record that changed more than the age of a registration, advancedAt is when
	// next last grew.
	changed    ident.Offset
	advancedAt time.Time
	// checkedAt is when the last call of the store that read the topic ended, also one that failed; the start of Run before that.
	checkedAt time.Time
	// unreadFor is how long the topic had not been read when the current call of the store began.
	unreadFor time.Duration
	// mayLackEnds says that records of a peer were applied while an evacuation was in force. A peer that started after its end doesn't
	// know of that end.
	mayLackEnds bool
	// endsReadAt is when the newest records were last read for that reason.
	endsReadAt time.Time
	// knownSince is the offset from which on all changes are known, because the whole state was read there.
	knownSince ident.Offset
	// newest holds the newest record of each key for peers, without records that changed nothing. A record without a
	// value means that its key was removed.
	newest map[string]extern.KeyedRecord
	// interruptRead ends a read of the topic that is waiting for records; nil if there is none.
	interruptRead context.CancelFunc
}

func (f *Follower) state(topic extern.Topic) *topicState {
	if f.topics == nil {
		f.topics = map[extern.Topic]*topicState{}
		f.upstreams = map[ident.UpstreamID]*view.Upstream{}
		f.retainedUntil = map[ident.UpstreamID]time.Time{}
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
		f.setChecked(topic)
		wg.Go(func() { f.follow(ctx, topic) })
	}
	wg.Go(func() { f.detectPauses(ctx) })
	wg.Wait()
}

func (f *Follower) follow(ctx context.Context, topic extern.Topic) {
	retryDelay := minRetryDelay
	failing := false
	for ctx.Err() == nil {
		wait := longPollWait
		if failing {
			// The response tells at once whether the store has returned from an older copy.
			wait = 0
		}
		err := f.readNext(ctx, topic, wait)
		f.setChecked(topic)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			if failing {
				klog.InfoS("Store regained", "topic", topic, "next", f.NextOffset(topic))
			}
			failing, retryDelay = false, minRetryDelay
			if topic == extern.TopicUpstreams {
				scope.Sleep(ctx, minBatchDelay+rand.N(minBatchDelay))
			}
			f.waitUntilDue(ctx, topic)
			continue
		}
		if !failing {
			klog.InfoS("Store lost", "topic", topic, "next", f.NextOffset(topic), "reason", err.Error())
		}
		failing = true
		setNow(&f.lastFailureAt)
		scope.Sleep(ctx, retryDelay/2+rand.N(retryDelay))
		retryDelay = min(2*retryDelay, maxRetryDelay)
		if f.isLoaded(topic) {
			f.waitUntilDue(ctx, topic)
		}
	}
}

func (f *Follower) detectPauses(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		f.pauses.tick(time.Now())
		f.mu.Unlock()
		scope.Sleep(ctx, pauseCheckInterval)
	}
}

func (f *Follower) setChecked(topic extern.Topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state(topic).checkedAt = time.Now()
}

// isLoaded reports whether a topic was read at least once.
func (f *Follower) isLoaded(topic extern.Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).loaded
}

// waitUntilDue waits until this daemon has to read the topic again. It returns at once if the daemon follows the topic
// continuously.
func (f *Follower) waitUntilDue(ctx context.Context, topic extern.Topic) {
	interval := minIdleInterval
	if f.FleetSize != nil {
		interval = max(interval, time.Duration(f.FleetSize())*idleIntervalPerDaemon)
	}
	dueAt := time.Now().Add(interval + rand.N(interval))
	for ctx.Err() == nil && time.Now().Before(dueAt) {
		if f.ReadsContinuously == nil || f.ReadsContinuously(topic) || f.isStale(topic) {
			return
		}
		scope.Sleep(ctx, dueCheckInterval)
	}
}

// isStale reports whether the list of upstreams has got no new records for so long that no peer seems to read it.
func (f *Follower) isStale(topic extern.Topic) bool {
	if topic != extern.TopicUpstreams {
		return false
	}
	maxAge := staleAfter
	if f.MaxHeartbeatPeriod != nil {
		maxAge += f.MaxHeartbeatPeriod()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.state(topic).advancedAt) > maxAge
}

// readNext makes one read, for which the store may wait for records, and applies the records.
func (f *Follower) readNext(ctx context.Context, topic extern.Topic, wait time.Duration) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	s := f.state(topic)
	loaded, next := s.loaded && !f.mayHaveMissedEnd(s), s.next
	s.interruptRead = cancel
	s.unreadFor = time.Since(s.checkedAt)
	f.mu.Unlock()
	if !loaded || next.Era() < f.Era() {
		return f.readNewest(ctx, topic)
	}
	batch, err := f.Store.Read(readCtx, topic, next, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return f.readNewest(ctx, topic)
	}
	if storeErr, ok := errors.AsType[*extern.StoreError](err); ok && storeErr.Kind == extern.StoreExpired {
		klog.InfoS("Store history has expired, reading the newest records", "topic", topic, "next", next, "reason", storeErr.Error())
		if err = f.readNewest(ctx, topic); err == nil && f.NextOffset(topic) <= next {
			return storeErr
		}
		return err
	}
	if err != nil {
		return err
	}
	f.markSuccess()
	f.apply(topic, Changes{StoreBatch: batch})
	return nil
}

// readNewest reads the newest record of each key. Keys without a record have been removed.
func (f *Follower) readNewest(ctx context.Context, topic extern.Topic) error {
	batch, err := f.Store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	f.markSuccess()
	f.apply(topic, Changes{StoreBatch: batch, Complete: true})
	return nil
}

func (f *Follower) markSuccess() { setNow(&f.lastSuccessAt) }

func setNow(at *atomic.Pointer[time.Time]) {
	now := time.Now()
	at.Store(&now)
}

// unknownStoreAge is the StoreAge of a store that has never responded.
const unknownStoreAge = time.Hour

// StoreAge returns the time since the store last responded; an hour if it never did.
func (f *Follower) StoreAge() time.Duration {
	if at := f.lastSuccessAt.Load(); at != nil {
		return time.Since(*at)
	}
	return unknownStoreAge
}

// StoreReachable reports whether the last call of the store succeeded.
func (f *Follower) StoreReachable() bool {
	lastSuccess, lastFailure := f.lastSuccessAt.Load(), f.lastFailureAt.Load()
	return lastSuccess != nil && (lastFailure == nil || lastFailure.Before(*lastSuccess))
}

// LastChangeOffset returns the offset after the last record of a topic that changed more than the age of a
// registration.
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

// apply applies changes of the store or of a peer.
func (f *Follower) apply(topic extern.Topic, c Changes) {
	f.mu.Lock()
	s, next := f.state(topic), c.Next
	if s.loaded && next < s.next {
		if c.Complete || topic != extern.TopicOperators {
			f.mu.Unlock()
			return
		}
		// Of a peer that has read less, only newer versions count.
		next = s.next
	}
	changed := s.loaded && next.Era() > s.next.Era()
	if changed {
		f.markRestored(topic, s, next)
	}
	if c.Complete {
		changed = f.removeUnlisted(topic, s, c.Records, next) || changed
		s.knownSince = next
	}
	s.mayLackEnds = c.passedOn || s.mayLackEnds && !c.Complete
	changed = f.applyRecords(topic, s, &c) || changed
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

// applyRecords applies the records that are newer than the known ones and reports whether anything changed.
func (f *Follower) applyRecords(topic extern.Topic, s *topicState, source *Changes) bool {
	changed := false
	for _, r := range source.Records {
		if !f.isNews(topic, s, &r) || topic == extern.TopicUpstreams && f.isRenewal(s, r) {
			continue
		}
		if r.SeenAt.IsZero() {
			r.SeenAt = time.Now()
		}
		s.newest[r.Key] = r
		s.changed = max(s.changed, r.Offset+1)
		changed = f.applyRecord(topic, r, source) || changed
	}
	return changed
}

// markRestored records that the store has returned from an older copy.
func (f *Follower) markRestored(topic extern.Topic, s *topicState, next ident.Offset) {
	f.restoredAt = time.Now()
	for other, o := range f.topics {
		if other != topic && o.interruptRead != nil && o.next.Era() < next.Era() {
			o.interruptRead()
		}
	}
	klog.InfoS("Store has returned from an older copy", "topic", topic, "before", s.next, "next", next)
	metrics.GetOrCreateCounter(fmt.Sprintf(`gooseberrywayStoreRestores{topic=%q}`, topic)).Inc()
}

// Era returns the store's era as far as this daemon knows.
func (f *Follower) Era() ident.Era {
	return max(f.NextOffset(extern.TopicOperators), f.NextOffset(extern.TopicUpstreams)).Era()
}

// isRenewal reports whether a record only renews the registration of its upstream.
func (f *Follower) isRenewal(s *topicState, r extern.KeyedRecord) bool {
	known := f.upstreams[ident.UpstreamID(r.Key)]
	if old, ok := s.newest[r.Key]; !ok || known == nil || len(old.Value) == 0 {
		return false
	}
	u, ok := f.Decoder.Decode(extern.TopicUpstreams, r).(*view.Upstream)
	if !ok || !u.SameRegistration(known) || f.BoundsCold != nil && f.BoundsCold(u.Service) && u.ChangesColdness(known) {
		return false
	}
	f.registrations.record(u)
	return true
}

// removeUnlisted removes the upstreams that a complete list lacks, and ends the evacuations.
func (f *Follower) removeUnlisted(topic extern.Topic, s *topicState, records []extern.KeyedRecord, next ident.Offset) bool {
	listed := map[string]bool{}
	for _, r := range records {
		listed[r.Key] = true
	}
	if topic != extern.TopicUpstreams {
		return f.endUnlistedEvacuations(s, listed, next)
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

// applyRecord applies one record of the changes and reports whether anything changed.
func (f *Follower) applyRecord(topic extern.Topic, r extern.KeyedRecord, source *Changes) bool {
	switch c := f.Decoder.Decode(topic, r).(type) {
	case *view.Config:
		if !f.Snapshots.SetConfig(c) {
			return false
		}
		klog.InfoS("Configuration applied", "version", c.Version, "offset", r.Offset, "routes", len(c.Routes),
			"organisations", len(c.Organisations), "storeAgeMs", f.StoreAge().Milliseconds())
		return true
	case *view.Weights:
		c.NamedAt, c.NamedAtObserved = f.namedAt(f.state(topic), &r, source.passedOn)
		before, _ := f.Snapshots.Weights(c.Model)
		if !f.Snapshots.SetWeights(*c) {
			return false
		}
		klog.InfoS("Weights named", "model", c.Model, "version", c.Version, "offset", r.Offset, "before", before.Version, "peer", source.From,
			"ageMs", c.Age().Milliseconds(), "observed", c.NamedAtObserved, "storeAgeMs", f.StoreAge().Milliseconds())
		return true
	case *view.Rollout:
		c.SeenAt = time.Now()
		if !f.Snapshots.SetRollout(*c) {
			return false
		}
		klog.InfoS("Rollout requested", "service", c.Service, "release", c.Release, "offset", r.Offset)
		return true
	case *view.Evacuation:
		return f.applyEvacuation(c, &r, source)
	case *view.Upstream:
		return f.setUpstream(c)
	case *view.UpstreamRemoved:
		return f.removeUpstream(c.ID, r.SeenAt)
	case *view.Ignored:
		klog.InfoS("Record ignored", "topic", topic, "key", r.Key, "offset", r.Offset, "reason", c.Reason)
		return topic == extern.TopicUpstreams && f.removeUpstream(ident.UpstreamID(r.Key), r.SeenAt)
	}
	return false
}

func (f *Follower) setUpstream(u *view.Upstream) bool {
	u.SeenAt = time.Now()
	f.registrations.record(u)
	old := f.upstreams[u.ID]
	delete(f.retainedUntil, u.ID)
	f.upstreams[u.ID] = u
	if old == nil || old.State != u.State || old.Address != u.Address || old.Incarnation != u.Incarnation {
		klog.InfoS("Upstream registered", "upstream", u.ID, "service", u.Service, "address", u.Address, "state", u.State,
			"release", u.Release, "weights", u.Weights, "offset", u.Offset)
	}
	return true
}

// removeUpstream removes an upstream whose registration was seen to have ended at seenAt. If the store was failing and
// the upstream may register again, it is retained for expiredRetention, counted from when the first daemon saw the end,
// because the upstream may as well have left.
func (f *Follower) removeUpstream(id ident.UpstreamID, seenAt time.Time) bool {
	u := f.upstreams[id]
	if u == nil {
		return false
	}
	retention := time.Until(seenAt.Add(expiredRetention))
	if (f.storeFailedRecently() || f.restoredRecently()) && u.State == view.UpstreamReady && retention > 0 {
		if _, ok := f.retainedUntil[id]; !ok {
			f.retainedUntil[id] = time.Now().Add(retention)
			time.AfterFunc(retention, f.removeExpired)
			klog.InfoS("Upstream registration ended while the store was failing, retaining the upstream",
				"upstream", id, "keptMs", retention.Milliseconds())
		}
		return false
	}
	delete(f.upstreams, id)
	delete(f.retainedUntil, id)
	klog.InfoS("Upstream gone", "upstream", id, "service", u.Service)
	return true
}

func (f *Follower) restoredRecently() bool { return time.Since(f.restoredAt) < restoreWindow }

func (f *Follower) storeFailedRecently() bool {
	at := f.lastFailureAt.Load()
	return at != nil && time.Since(*at) < storeFailureWindow
}

// removeExpired removes the retained upstreams whose retention has ended.
func (f *Follower) removeExpired() {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := false
	for id, until := range f.retainedUntil {
		if time.Now().Before(until) {
			continue
		}
		delete(f.retainedUntil, id)
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

// Changes is a part of a topic that the store gave or a daemon passes on to a peer.
type Changes struct {
	extern.StoreBatch
	// From is the peer that passed the changes on; empty for the store.
	From ident.DaemonID

	passedOn bool
	// Complete says that Records is the whole state of the topic: keys without a record have been removed.
	Complete bool
}

// KnownSinceOffset returns the offset from which on this daemon knows all changes of a topic.
func (f *Follower) KnownSinceOffset(topic extern.Topic) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(topic).knownSince
}

// ChangesSince returns the newest records from the offset on. If upstreams may have left after it without this daemon
// knowing, it returns all upstreams instead.
func (f *Follower) ChangesSince(topic extern.Topic, from ident.Offset) Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.state(topic)
	out := Changes{Complete: topic == extern.TopicUpstreams && from < s.knownSince}
	out.Next = s.next
	for _, r := range s.newest {
		if out.Complete && len(r.Value) > 0 || !out.Complete && r.Offset >= from {
			out.Records = append(out.Records, r)
		}
	}
	return out
}

// ApplyChanges applies records of a peer that has read further than this daemon.
func (f *Follower) ApplyChanges(topic extern.Topic, c Changes) {
	if c.Next <= f.NextOffset(topic) && !f.hasNews(topic, c.Records) {
		return
	}
	klog.InfoS("Records of the store came from a peer", "topic", topic, "peer", c.From, "records", len(c.Records), "whole", c.Complete,
		"next", c.Next)
	c.passedOn = true
	f.apply(topic, c)
}

// AdvanceTo advances the offset to which a topic counts as read: a peer has read up to next and found no change that
// this daemon lacks.
func (f *Follower) AdvanceTo(topic extern.Topic, next ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.state(topic); s.loaded && next > s.next {
		s.next, s.advancedAt = next, time.Now()
	}
}

// Loaded reports whether the configuration and the upstreams are known.
func (f *Follower) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state(extern.TopicOperators).loaded && f.state(extern.TopicUpstreams).loaded && f.Snapshots.Config() != nil
}
