package canary

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// ledger is the leader's view of what the store holds of rollouts. Each write names the end of its topic, so that the
// write of a former leader, or one that the store carries out late, fails.
type ledger struct {
	// term is the term for which the ledger was read; 0 if it has to be read.
	term                 ident.Offset
	sequence             uint64
	stagesEnd, statusEnd ident.Offset
	records              map[view.ServiceID]*stageRecord
	statuses             map[view.ServiceID]view.RolloutStatus
}

// stageRecord is the value kept in the store for the rollout of a service.
type stageRecord struct {
	Order   ident.Offset `json:"order"`
	Stated  ident.Offset `json:"stated"`
	Release string       `json:"release"`
	State   string       `json:"state"`
	Share   int64        `json:"sharePermille"`
	Reason  string       `json:"reason"`
	Term    ident.Offset `json:"term"`
	// Opened says that operators were told that the rollout is in progress, so that the status belongs to this order.
	Opened bool `json:"opened"`
	// ElapsedMs is the time since the order, OrderedAtMs the wall-clock time of the order since the Unix epoch. The clocks of
	// VMs may differ.
	ElapsedMs   int64 `json:"elapsedMs"`
	OrderedAtMs int64 `json:"orderedAtMs"`
}

// lead advances the rollouts if this daemon is the leader.
func (c *Controller) lead(ctx context.Context) {
	term := c.Term()
	rollouts := c.Snapshots.Rollouts()
	if term == 0 || len(rollouts) == 0 || c.IsIsolated() {
		c.ledger.term = 0
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// A restored store lacks what was written since its copy was made.
	restored := c.ledger.stagesEnd.Era() < c.Snapshots.Upstreams().Offset.Era()
	if c.ledger.term != term || restored {
		if err := c.readLedger(ctx, term); err != nil {
			klog.InfoS("Rollouts were not read from the store", "term", term, "reason", err.Error())
			return
		}
	}
	for id := range rollouts {
		order := rollouts[id]
		if err := c.advance(ctx, term, &order); err != nil {
			klog.InfoS("Rollout not advanced", "service", id, "order", order.Offset, "term", term, "reason", err.Error())
			var store *extern.StoreError
			if !errors.As(err, &store) || store.Kind != extern.StoreRefused {
				c.ledger.term = 0
			}
			return
		}
	}
}

// readLedger reads what former leaders have written, and adopts it where no peer has told more.
func (c *Controller) readLedger(ctx context.Context, term ident.Offset) error {
	stages, err := c.Store.Newest(ctx, extern.TopicRollouts)
	if err != nil {
		return err
	}
	statuses, err := c.Store.Newest(ctx, extern.TopicStatus)
	if err != nil {
		return err
	}
	l := ledger{
		term: term, stagesEnd: stages.Next, statusEnd: statuses.Next,
		records: map[view.ServiceID]*stageRecord{}, statuses: map[view.ServiceID]view.RolloutStatus{},
	}
	for _, r := range stages.Records {
		var record stageRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			klog.InfoS("Record of a rollout can't be decoded and is ignored", "key", r.Key, "reason", err.Error())
			continue
		}
		l.records[view.ServiceID(r.Key)] = &record
	}
	for _, r := range statuses.Records {
		if status, ok := c.Codec.DecodeRollout(r); ok {
			l.statuses[status.Service] = status
		}
	}
	l.sequence = c.ledger.sequence
	c.ledger = l
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, record := range l.records {
		c.adopt(id, record, l.statuses[id])
	}
	return nil
}

// adopt applies a record of a former leader, or one that this daemon wrote without a response. Daemons that were all
// restarted have lost the evidence, so that a rollout in progress goes on from the first step. What operators were told
// is final. The caller holds c.mu.
func (c *Controller) adopt(id view.ServiceID, record *stageRecord, status view.RolloutStatus) {
	s := Stage{
		Service: id, Order: record.Order, Stated: record.Stated, Release: record.Release, Reason: record.Reason, Term: record.Term, Sequence: c.ledger.sequence,
		State: stateNamed(record.State), Share: min(ident.Permille(record.Share), steps[0].share), Since: time.Now(),
		OrderedAt: c.orderedAt(id, record),
	}
	c.identify(&s)
	known := c.stages[id]
	switch {
	case known == nil || known.Order != s.Order:
	case record.Term == c.ledger.term:
		s.Share = ident.Permille(record.Share)
	default:
		s.Share = known.Share
	}
	if record.Opened && status.Release == record.Release && status.State.Ended() {
		s.State = status.State
	}
	if s.State.Ended() {
		s.Share = 0
	}
	c.apply(s, "store")
}

// orderedAt returns the earliest time at which the order of a record may have been given. The caller holds c.mu.
func (c *Controller) orderedAt(id view.ServiceID, record *stageRecord) time.Time {
	now := time.Now()
	at := now.Add(-time.Duration(record.ElapsedMs) * time.Millisecond)
	if wall := now.Sub(time.UnixMilli(record.OrderedAtMs)); wall > 0 && now.Add(-wall).Before(at) {
		at = now.Add(-wall)
	}
	if order := c.Snapshots.Rollouts()[id]; order.Offset == record.Order && order.SeenAt.Before(at) {
		at = order.SeenAt
	}
	if known := c.stages[id]; known != nil && known.Order == record.Order && known.OrderedAt.Before(at) {
		at = known.OrderedAt
	}
	return at
}

func stateNamed(name string) view.RolloutState {
	for _, s := range []view.RolloutState{view.RolloutCompleted, view.RolloutRolledBack} {
		if s.String() == name {
			return s
		}
	}
	return view.RolloutInProgress
}

// advance writes what is missing in the store of one rollout and decides on its next stage.
func (c *Controller) advance(ctx context.Context, term ident.Offset, order *view.Rollout) error {
	c.mu.Lock()
	stage := c.stageOf(order)
	c.mu.Unlock()
	record := c.ledger.records[order.Service]
	if record == nil || record.Order != order.Offset {
		if record != nil && record.Order > order.Offset {
			return nil
		}
		return c.writeStage(ctx, term, stage, false)
	}
	if !record.Opened {
		told := view.RolloutStatus{Service: stage.Service, Release: stage.Release, State: stage.State}
		if c.ledger.statuses[order.Service] != told {
			if err := c.writeStatus(ctx, stage, stage.State); err != nil {
				return err
			}
		}
		return c.writeStage(ctx, term, stage, true)
	}
	if stage.State.Ended() {
		return c.finish(ctx, term, stage, record)
	}
	if record.Term != term {
		// Fences writes of former leaders that the store may still carry out.
		return c.writeStage(ctx, term, stage, true)
	}
	next := decide(c.inputFor(&stage, order))
	if next == nil {
		return nil
	}
	if next.State.Ended() {
		// The status comes first: the platform acts on it, and of two leaders only one can write it. A release that is
		// rolled back gets no requests since it was found bad.
		if err := c.writeStatus(ctx, *next, next.State); err != nil {
			return err
		}
	}
	next.Since = time.Now()
	return c.writeStage(ctx, term, *next, true)
}

// finish makes the record of a rollout agree with its final state.
func (c *Controller) finish(ctx context.Context, term ident.Offset, stage Stage, record *stageRecord) error {
	if status := c.ledger.statuses[stage.Service]; status.State != stage.State {
		if status.State.Ended() {
			klog.ErrorS(nil, "Published status differs from the state of a rollout", "service", stage.Service, "order", stage.Order,
				"status", status.State, "state", stage.State)
			return nil
		}
		if err := c.writeStatus(ctx, stage, stage.State); err != nil {
			return err
		}
	}
	if record.State != stage.State.String() {
		return c.writeStage(ctx, term, stage, true)
	}
	return nil
}

func (c *Controller) inputFor(stage *Stage, order *view.Rollout) *decisionInput {
	now := time.Now()
	in := &decisionInput{
		stage: *stage, within: order.Within, elapsed: now.Sub(stage.OrderedAt), stageAge: now.Sub(stage.Since),
		stopReason: c.splitter.StopReason(moveID(stage.Service, stage.Order)),
	}
	c.mu.Lock()
	in.verdict = c.verdicts[moveID(stage.Service, stage.Order)]
	c.mu.Unlock()
	for _, u := range c.Snapshots.Upstreams().ByService[stage.Service] {
		switch {
		case u.Release != stage.Release:
			in.oldRequests += c.RequestsAt(u.ID)
		case u.State == view.UpstreamReady:
			in.newReady++
		}
	}
	return in
}

// errTermEnded says that this daemon is no longer the leader.
var errTermEnded = errors.New("the term has ended") //nolint:revive // compared by identity only

// writeStage writes a stage to the store and applies it.
func (c *Controller) writeStage(ctx context.Context, term ident.Offset, s Stage, opened bool) error {
	if c.Term() != term {
		return errTermEnded
	}
	c.ledger.sequence++
	s.Term, s.Sequence = term, c.ledger.sequence
	record := &stageRecord{
		Order: s.Order, Stated: s.Stated, Release: s.Release, State: s.State.String(), Share: int64(s.Share), Reason: s.Reason, Term: term, Opened: opened,
		ElapsedMs: time.Since(s.OrderedAt).Milliseconds(), OrderedAtMs: s.OrderedAt.UnixMilli(),
	}
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	offset, err := c.Store.Put(ctx, extern.TopicRollouts, string(s.Service), value, &c.ledger.stagesEnd)
	if err != nil {
		return err
	}
	c.ledger.stagesEnd, c.ledger.records[s.Service] = offset+1, record
	c.mu.Lock()
	changed := c.apply(s, "leader")
	c.mu.Unlock()
	if changed {
		c.notifyPeers()
	}
	return nil
}

// writeStatus tells operators the state of a rollout.
func (c *Controller) writeStatus(ctx context.Context, s Stage, state view.RolloutState) error {
	if c.Term() == 0 {
		return errTermEnded
	}
	status := view.RolloutStatus{Service: s.Service, Release: s.Release, State: state}
	key, value, err := c.Codec.EncodeRollout(status)
	if err != nil {
		return err
	}
	offset, err := c.Store.Put(ctx, extern.TopicStatus, key, value, &c.ledger.statusEnd)
	if err != nil {
		return err
	}
	klog.InfoS("Status of a rollout published", "service", s.Service, "release", s.Release, "state", state, "order", s.Order)
	c.ledger.statusEnd, c.ledger.statuses[s.Service] = offset+1, status
	return nil
}

// Verdicts returns the latest verdict on each rollout in progress.
func (c *Controller) Verdicts() map[ident.MoveID]moves.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verdicts
}
