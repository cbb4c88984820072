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
// path was changed meanwhile; with any other error the record may or may not be in the log.
type Writer interface {
	Write(ctx context.Context, rec *wire.Record) (ident.Offset, error)
}

// Controller runs on every daemon. It stops versions on this daemon's evidence, and it steers the moves that this daemon
// owns by records that are based on the revision they were decided on.
type Controller struct {
	Daemon      ident.DaemonID
	Incarnation ident.Incarnation
	// State returns the configuration as replayed so far.
	State  func() *config.State
	Writer Writer
	// LiveDaemons returns the daemons that are joined and answer, this one included.
	LiveDaemons func() []ident.DaemonID
	// HoldsLease reports whether this daemon holds its serving lease.
	HoldsLease func() bool
	// HasCapacity reports whether enough engines have loaded the move's new version for a share; nil means always.
	HasCapacity func(*config.Move, ident.Permille) bool
	// RemainingLoadTime returns how long the engines still need to load the move's new version; nil means not at all.
	RemainingLoadTime func(*config.Move) time.Duration

	Splitter *Splitter
	Monitor  *Monitor
	// Settings returns the limits in use; nil means the defaults.
	Settings func() Settings

	judge    Judge
	mu       sync.Mutex
	verdicts map[ident.MoveID]Verdict
	trails   map[ident.MoveID]*trail
	applied  *config.State
	sequence uint64
	writes   sync.WaitGroup
	life     scope.Scope
}

// trail is what this daemon knows of a move beyond its entity. It is guarded by Owner.mu.
type trail struct {
	revision ident.Offset
	stage    stage
	// since is when this daemon saw the stage first.
	since       time.Time
	ownerLiveAt time.Time
	writing     bool
	retryAt     time.Time
	backoff     time.Duration
}

// stage is the part of a move whose change starts a new time to hold.
type stage struct {
	state config.MoveState
	step  int
	share ident.Permille
}

// Run works until ctx ends or Close is called.
func (o *Controller) Run(ctx context.Context) {
	ctx, leave := o.life.Enter(ctx)
	defer leave()
	defer o.writes.Wait()
	o.start()
	o.Monitor.init()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		o.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-o.Monitor.wake:
		}
	}
}

func (o *Controller) start() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.trails = map[ident.MoveID]*trail{}
	o.judge = Judge{Monitor: o.Monitor}
}

// Close ends Run and waits for it.
func (o *Controller) Close() { o.life.Close() }

// Verdicts returns the latest verdict of every active move.
func (o *Controller) Verdicts() map[ident.MoveID]Verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.verdicts
}

func (o *Controller) tick(ctx context.Context) {
	state := o.State()
	if state != o.applied {
		o.Splitter.Update(state)
		o.applied = state
	}
	live := o.LiveDaemons()
	o.Splitter.allowProbes(o.Daemon, live)
	now := time.Now()
	verdicts := o.judge.Evaluate(now, o.settings())
	o.stopBad(verdicts)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.verdicts = verdicts
	for _, m := range state.Moves() {
		o.follow(state, m, live, now)
	}
	if !o.HoldsLease() {
		return
	}
	for _, m := range state.Moves() {
		o.steer(ctx, state, m, live, now)
	}
}

func (o *Controller) settings() Settings {
	if o.Settings == nil {
		return Settings{}.withDefaults()
	}
	return o.Settings().withDefaults()
}

// stopBad stops the versions that are judged bad, on this daemon at once.
func (o *Controller) stopBad(verdicts map[ident.MoveID]Verdict) {
	for id, v := range verdicts {
		if v.Finding != FindingBad || !o.Splitter.Stop(id, v.Reason) {
			continue
		}
		klog.InfoS("Stopped sending to the new version", "move", id, "reason", v.Reason)
		o.Monitor.signal()
	}
}

// follow notes what changed of a move.
func (o *Controller) follow(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) {
	tr := o.trails[m.ID]
	if tr == nil {
		tr = &trail{ownerLiveAt: now}
		o.trails[m.ID] = tr
	}
	if st := (stage{m.State, m.Step, m.Share}); tr.stage != st || tr.since.IsZero() {
		tr.stage, tr.since = st, now
	}
	if slices.Contains(live, m.Owner) {
		tr.ownerLiveAt = now
	}
	if revision := state.Revision(config.PathOf(m)); revision != tr.revision {
		tr.revision, tr.backoff, tr.retryAt = revision, 0, time.Time{}
	}
}

// steer decides on one move and starts the write of what was decided.
func (o *Controller) steer(ctx context.Context, state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) {
	tr := o.trails[m.ID]
	if tr.writing || now.Before(tr.retryAt) {
		return
	}
	next := o.next(state, m, live, now)
	if next == nil {
		return
	}
	o.sequence++
	id := ident.RecordID(fmt.Sprintf("%s-%d-move-%d", o.Daemon, o.Incarnation, o.sequence))
	path := config.PathOf(next)
	rec := config.NewRecord(id, string(o.Daemon), state.Revision(path), next)
	tr.writing = true
	o.writes.Go(func() { o.write(ctx, m.ID, tr, rec) })
}

// next returns the entity to write for a move, nil if there is none.
func (o *Controller) next(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) config.Entity {
	if m.State == config.MoveDone {
		if model := o.finishedModel(state, m, live); model != nil {
			return model
		}
		return nil
	}
	s := o.situation(state, m, live, now)
	if next := decide(&s, o.settings()); next != nil {
		if next.Owner == o.Daemon && next.OwnerEpoch == 0 && m.Owner == o.Daemon {
			next.OwnerEpoch = OwnerEpoch(state, m)
		}
		return next
	}
	return nil
}

func (o *Controller) situation(state *config.State, m *config.Move, live []ident.DaemonID, now time.Time) situation {
	tr := o.trails[m.ID]
	s := situation{
		move:         *m,
		self:         o.Daemon,
		winner:       electOwner(m.ID, live) == o.Daemon,
		ownerMissing: now.Sub(tr.ownerLiveAt),
		verdict:      o.verdicts[m.ID],
		stopped:      o.Splitter.StopReason(m.ID),
		overlap:      overlapBefore(state, m),
		held:         now.Sub(tr.since),
		now:          now,
		capacity:     true,
	}
	if o.HasCapacity != nil {
		settings := o.settings()
		s.capacity = o.HasCapacity(m, settings.Steps[settings.nextStep(m)])
	}
	if o.RemainingLoadTime != nil {
		s.loading = o.RemainingLoadTime(m)
	}
	return s
}

// finishedModel returns the model with the version of a move that is done, nil if it needs no change.
func (o *Controller) finishedModel(state *config.State, m *config.Move, live []ident.DaemonID) *config.Model {
	model, ok := state.Model(m.Model)
	if !ok || len(m.Routes) > 0 || model.CurrentVersion != m.From || electOwner(m.ID, live) != o.Daemon {
		return nil
	}
	if state.Revision(config.PathOf(m)) < state.Revision(config.PathOf(model)) {
		return nil
	}
	next := *model
	next.CurrentVersion = m.To
	return &next
}

// write appends a record. After an error the move is decided anew, on what has been replayed by then: if the record
// did take effect, the next one conflicts with it or is not needed.
func (o *Controller) write(ctx context.Context, id ident.MoveID, tr *trail, rec *wire.Record) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := o.Writer.Write(ctx, rec)
	o.mu.Lock()
	defer o.mu.Unlock()
	tr.writing = false
	var conflict *config.ConflictError
	switch {
	case err == nil || errors.As(err, &conflict):
		tr.backoff = 0
		tr.retryAt = time.Now().Add(tickInterval)
	default:
		tr.backoff = min(max(2*tr.backoff, retryInitial), retryMax)
		tr.retryAt = time.Now().Add(tr.backoff)
		klog.ErrorS(err, "Writing a move failed", "move", id, "retryIn", tr.backoff)
	}
	notify(o.Monitor.wake)
}
