package moves

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/config"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/scope"
)

// Writer appends records to the control stream and reads them back. The error is a *config.ConflictError when the
// path was changed in the meantime; with any other error the record may or may not be in the log.
type Writer interface {
	Write(ctx context.Context, rec *wire.Record) (ident.Offset, error)
}

// Controller runs on every daemon. It stops bad versions on this daemon, and it changes the moves that this daemon
// owns by records that name the revision they were decided on.
type Controller struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	// State returns the configuration as replayed so far.
	State  func() *config.State
	Writer Writer
	// LiveDaemons returns the daemons that have joined and answer, this one included.
	LiveDaemons func() []ident.DaemonID
	// HoldsLease reports whether this daemon holds its serving lease.
	HoldsLease func() bool
	// HasCapacity reports whether enough engines have loaded the move's new version for a share; nil means always.
	HasCapacity func(*config.Move, ident.Permille) bool
	// RemainingLoadTime returns how long the engines still need to load the move's new version; nil means no time.
	RemainingLoadTime func(*config.Move) time.Duration

	Splitter *Splitter
	Monitor  *Monitor
	// Settings returns the settings in use; nil means the defaults.
	Settings func() Settings

	judge          Judge
	mu             sync.Mutex
	verdicts       map[ident.MoveID]Verdict
	tracked        map[ident.MoveID]*moveTracking
	appliedState   *config.State
	recordSequence uint64
	writes         sync.WaitGroup
	life           scope.Scope
}

// moveTracking is what this daemon knows of a move beyond its entity. It is guarded by Controller.mu.
type moveTracking struct {
	revision ident.Offset
	stage    moveStage
	// stageSince is when this daemon first saw the stage.
	stageSince      time.Time
	ownerLastLiveAt time.Time
	writePending    bool
	retryAt         time.Time
	backoff         time.Duration
}

// moveStage is the part of a move whose change restarts the time in its step.
type moveStage struct {
	state config.MoveState
	step  int
	share ident.Permille
}

// Run works until ctx ends or Close is called.
func (c *Controller) Run(ctx context.Context) {
	ctx, leave := c.life.Enter(ctx)
	defer leave()
	defer c.writes.Wait()
	c.start()
	c.Monitor.init()
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		c.evaluate(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.Monitor.wake:
		}
	}
}

func (c *Controller) start() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracked = map[ident.MoveID]*moveTracking{}
	c.judge = Judge{Monitor: c.Monitor}
}

// Close ends Run and waits for it.
func (c *Controller) Close() { c.life.Close() }

// Verdicts returns the latest verdict of every active move.
func (c *Controller) Verdicts() map[ident.MoveID]Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.verdicts
}

func (c *Controller) evaluate(ctx context.Context) {
	state := c.State()
	if state != c.appliedState {
		c.Splitter.Update(state)
		c.appliedState = state
	}
	live := c.LiveDaemons()
	c.Splitter.selectProbingDaemons(c.Daemon, live)
	now := time.Now()
	verdicts := c.judge.Evaluate(now, c.settings())
	c.stopBadVersions(verdicts)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.verdicts = verdicts
	for _, m := range state.Moves() {
		c.updateTracking(state, m, live, now)
	}
	if !c.HoldsLease() {
		return
	}
	for _, m := range state.Moves() {
		c.decideAndWrite(ctx, state, m, live, now)
	}
}

func (c *Controller) settings() Settings {
	if c.Settings == nil {
		return Settings{}.withDefaults()
	}
	return c.Settings().withDefaults()
}

// stopBadVersions stops the versions that are judged bad, on this daemon at once.
func (c *Controller) stopBadVersions(verdicts map[ident.MoveID]Verdict) {
	for id, v := range verdicts {
		if v.Finding != FindingBad || !c.Splitter.Stop(id, v.Reason) {
			continue
		}
		klog.InfoS("Stopped sending to the new version", "move", id, "reason", v.Reason)
		c.Monitor.notifyUrgent()
	}
}

// updateTracking records what has changed in a move.
func (c *Controller) updateTracking(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) {
	tracking := c.tracked[m.ID]
	if tracking == nil {
		tracking = &moveTracking{ownerLastLiveAt: now}
		c.tracked[m.ID] = tracking
	}
	if current := (moveStage{m.State, m.Step, m.Share}); tracking.stage != current || tracking.stageSince.IsZero() {
		tracking.stage, tracking.stageSince = current, now
	}
	if slices.Contains(live, m.Owner) {
		tracking.ownerLastLiveAt = now
	}
	if revision := state.Revision(config.PathOf(m)); revision != tracking.revision {
		tracking.revision, tracking.backoff, tracking.retryAt = revision, 0, time.Time{}
	}
}

// decideAndWrite decides on one move and starts the write of the result.
func (c *Controller) decideAndWrite(ctx context.Context, state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) {
	tracking := c.tracked[m.ID]
	if tracking.writePending || now.Before(tracking.retryAt) {
		return
	}
	next := c.nextEntity(state, m, live, now)
	if next == nil {
		return
	}
	c.recordSequence++
	id := ident.RecordID(fmt.Sprintf("%s-%d-move-%d", c.Daemon, c.Incarnation, c.recordSequence))
	path := config.PathOf(next)
	rec := config.NewRecord(id, string(c.Daemon), state.Revision(path), next)
	tracking.writePending = true
	c.writes.Go(func() { c.write(ctx, m.ID, tracking, rec) })
}

// nextEntity returns the entity to write for a move, nil if there is none.
func (c *Controller) nextEntity(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) config.Entity {
	if m.State == config.MoveDone {
		if model := c.modelAfterMove(state, m, live); model != nil {
			return model
		}
		return nil
	}
	in := c.inputFor(state, m, live, now)
	if next := decide(&in, c.settings()); next != nil {
		if next.Owner == c.Daemon && next.OwnerEpoch == 0 && m.Owner == c.Daemon {
			next.OwnerEpoch = OwnerEpoch(state, m)
		}
		return next
	}
	return nil
}

func (c *Controller) inputFor(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) decisionInput {
	tracking := c.tracked[m.ID]
	in := decisionInput{
		move:           *m,
		self:           c.Daemon,
		elected:        electOwner(m.ID, live) == c.Daemon,
		ownerAbsentFor: now.Sub(tracking.ownerLastLiveAt),
		verdict:        c.verdicts[m.ID],
		stopReason:     c.Splitter.StopReason(m.ID),
		precedingMove:  precedingOverlap(state, m),
		stageAge:       now.Sub(tracking.stageSince),
		now:            now,
		hasCapacity:    true,
	}
	if c.HasCapacity != nil {
		settings := c.settings()
		in.hasCapacity = c.HasCapacity(m, settings.Steps[settings.nextStep(m)])
	}
	if c.RemainingLoadTime != nil {
		in.remainingLoadTime = c.RemainingLoadTime(m)
	}
	return in
}

// modelAfterMove returns the model with the new version of a move that is done, nil if it needs no change.
func (c *Controller) modelAfterMove(state *config.State, m *config.Move, live []ident.DaemonID) *config.Model {
	model, ok := state.Model(m.Model)
	if !ok || len(m.Routes) > 0 || model.CurrentVersion != m.From || electOwner(m.ID, live) != c.Daemon {
		return nil
	}
	if state.Revision(config.PathOf(m)) < state.Revision(config.PathOf(model)) {
		return nil
	}
	next := *model
	next.CurrentVersion = m.To
	return &next
}

// write appends a record. After an error the move is decided anew, on the state replayed by then: if the record did
// take effect, the next one conflicts with it or is not needed.
func (c *Controller) write(ctx context.Context, id ident.MoveID, tracking *moveTracking, rec *wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := c.Writer.Write(ctx, rec)
	c.mu.Lock()
	defer c.mu.Unlock()
	tracking.writePending = false
	var conflict *config.ConflictError
	switch {
	case err == nil || errors.As(err, &conflict):
		tracking.backoff = 0
		tracking.retryAt = time.Now().Add(evaluationInterval)
	default:
		tracking.backoff = min(max(2*tracking.backoff, initialBackoff), maxBackoff)
		tracking.retryAt = time.Now().Add(tracking.backoff)
		klog.ErrorS(err, "Move record write failed", "move", id, "retryIn", tracking.backoff)
	}
	notify(c.Monitor.wake)
}
