package proxy

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// successorInterval is the time between two tries to secure the attempt after one whose upstream is silent.
const successorInterval = 300 * time.Millisecond

// heardLately is how long after it was last heard an upstream needs no connection to show that it can be reached.
const heardLately = time.Second

// successor is what the attempt after one that is called off needs, taken beforehand: an upstream, and a retry of the budget.
type successor struct {
	choice    *place.Choice
	request   *place.Request
	securedAt time.Time
}

// obstacle says why no other attempt can follow; empty if one can.
type obstacle string

const (
	obstacleNone        obstacle = ""
	obstacleAnswer      obstacle = "answerCannotGoOn"
	obstacleEnd         obstacle = "requestEnds"
	obstacleStop        obstacle = "stop"
	obstacleQuarantine  obstacle = "quarantine"
	obstacleNoUpstream  obstacle = "noUpstream"
	obstacleTime        obstacle = "time"
	obstacleRetryBudget obstacle = "retryBudget"
	obstacleNoPeer      obstacle = "noPeer"
)

// attemptWatcher cancels an attempt whose upstream becomes unreachable or hangs, once another attempt is secured, and one that has no first
// token when its weights near their limit: the engine would give it on these weights, however late. An engine drops requests whose connections
// close.
type attemptWatcher struct {
	call    *call
	cancel  context.CancelCauseFunc
	choice  *place.Choice
	tracker *attemptTracker
	model   ident.ModelID
	// mayAbort says that the route allows another attempt, nextReq is the request for it.
	mayAbort bool
	nextReq  place.Request

	done chan struct{}
	// next is what was secured for the next attempt; nil for nothing. It is read after done.
	next *successor
	// triedAt is when it was last tried to secure it.
	triedAt   time.Time
	obstacles obstacleLog
}

// obstacleLog tells which obstacles are worth a line in the log.
type obstacleLog struct {
	any  bool
	last obstacle
}

// isNew reports whether the obstacle is another one than the last.
func (l *obstacleLog) isNew(o obstacle) bool {
	before := *l
	l.any, l.last = true, o
	return !before.any || before.last != o
}

// watchAttempt returns a watcher of the attempt, or nil if there is nothing to watch.
func (c *call) watchAttempt(
	ctx context.Context, cancel context.CancelCauseFunc, choice *place.Choice, r *place.Request, tracker *attemptTracker,
) *attemptWatcher {
	w := &attemptWatcher{
		call: c, cancel: cancel, choice: choice, tracker: tracker, model: r.Model, done: make(chan struct{}),
		mayAbort: c.route.Repeatable() && c.possibleRuns()+1 < c.maxRuns(), nextReq: *r,
	}
	if !w.mayAbort && w.model == "" {
		return nil
	}
	w.nextReq.Tried = append(slices.Clone(r.Tried), choice.Upstream.ID)
	w.nextReq.Speculative = true
	go w.run(ctx)
	return w
}

// Close ends the watch and returns what was secured for the next attempt; nil for nothing.
func (w *attemptWatcher) Close() *successor {
	if w == nil {
		return nil
	}
	w.cancel(nil)
	<-w.done
	return w.next
}

func (w *attemptWatcher) run(ctx context.Context) {
	defer close(w.done)
	t := time.NewTicker(responsivenessTick)
	defer t.Stop()
	reading := true
	for w.mayAbort || !w.tracker.hasBegun.Load() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !w.tracker.hasBegun.Load() && w.call.Placer.HasExpired(w.model, w.choice.WeightVersion) {
			w.cancel(errWeightsReplaced)
			return
		}
		// While the caller is written to, nothing is read from the upstream, which then isn't silent.
		wasReading := reading
		reading = !w.call.reply.isWriting.Load()
		if w.mayAbort && reading && wasReading && w.tracker.ShouldAbort() && w.mayFollow(ctx) {
			w.cancel(errUnresponsive)
			return
		}
	}
}

// mayFollow secures the next attempt. It reports false if none can follow; the silent upstream may still answer then.
func (w *attemptWatcher) mayFollow(ctx context.Context) bool {
	if time.Since(w.triedAt) < successorInterval {
		return false
	}
	next, o := w.call.secure(ctx, &w.nextReq)
	w.triedAt = time.Now()
	if !w.tracker.ShouldAbort() {
		w.call.release(next)
		return false
	}
	if w.obstacles.isNew(o) {
		w.log(o)
	}
	w.next = next
	return o == obstacleNone
}

// log records that an upstream is silent, and whether its attempt is given up.
func (w *attemptWatcher) log(o obstacle) {
	c, s := w.call, w.tracker.Silence()
	stop := c.Stop.Estimate(c.stopRequest())
	klog.InfoS("Upstream of an attempt silent", "request", c.req.ID, "upstream", w.choice.Upstream.ID, "givenUp", o == obstacleNone,
		"obstacle", o, "silentMs", s.For.Milliseconds(), "requests", s.Requests, "peerRequests", s.PeerRequests, "down", s.Down,
		"downMs", s.DownFor.Milliseconds(), "hung", s.Hung, "begun", w.tracker.hasBegun.Load(), "candidates", w.choice.Candidates,
		"budget", c.RetryBudgets.Of(c.service).Balance(), "fitsStop", stop.CanFinish, "untilStopMs", stop.Left.Milliseconds(),
		"leftMs", c.untilDeadline().Milliseconds(), "sinceSentMs", time.Since(w.tracker.sentAt).Milliseconds())
	countSilentAttempt(o)
}

// secure takes what another attempt needs, at this daemon or, if it can connect to no upstream, at a peer. The result is nil without an obstacle
// if a peer may run the request. It runs beside the attempt.
func (c *call) secure(ctx context.Context, r *place.Request) (*successor, obstacle) {
	if o := c.obstacle(); o != obstacleNone {
		return nil, o
	}
	r.CacheScope = c.cacheScope()
	choice, err := c.choose(r, true)
	switch {
	case err != nil && c.isCutOff() && c.hop == nil && !c.detoured && c.Peers.HasCandidate(c.service, nil):
		return nil, obstacleNone
	case err != nil:
		return nil, obstacleNoUpstream
	case choice.Wait.Total >= c.untilDeadline():
		c.Placer.Discard(choice)
		return nil, obstacleTime
	case c.RetryBudgets.Of(c.service).Balance() <= 0:
		c.Placer.Discard(choice)
		return nil, obstacleRetryBudget
	case !c.isReachable(ctx, choice):
		c.Placer.Discard(choice)
		return nil, obstacleNoUpstream
	case !c.RetryBudgets.Of(c.service).TryWithdraw():
		c.Placer.Discard(choice)
		return nil, obstacleRetryBudget
	default:
		return &successor{choice: choice, request: r, securedAt: time.Now()}, obstacleNone
	}
}

// isReachable reports whether an upstream can be reached: it was heard lately, or a connection to it succeeds.
func (c *call) isReachable(ctx context.Context, choice *place.Choice) bool {
	if c.Placer.HasHeardWithin(choice.Upstream.ID, heardLately) {
		return true
	}
	ok := c.CanConnect(ctx, choice.Upstream.Address)
	if !ok && ctx.Err() == nil {
		c.Placer.MarkUnreachable(choice.Upstream.ID)
	}
	return ok
}

// obstacle returns what keeps the request itself from another attempt. It may run beside an attempt.
func (c *call) obstacle() obstacle {
	judged := c.judged
	judged.Fingerprint = c.newFingerprint
	switch {
	case c.reply.isFinal.Load():
		return obstacleAnswer
	case c.callerLeft(), c.stopped(), c.untilDeadline() <= 0, !c.stillAuthorised():
		return obstacleEnd
	case !c.mayEndBeforeStop():
		return obstacleStop
	case c.Detector.Check(&judged) != nil:
		return obstacleQuarantine
	default:
		return obstacleNone
	}
}

// mayEndBeforeStop reports whether another attempt is worth it during a planned stop. An engine that is taken to hang has not answered when it was
// asked; of other upstreams only the silence is known, and the answer that is waited for may come sooner than another one.
func (c *call) mayEndBeforeStop() bool {
	if s := c.config.Services[c.service]; s != nil && s.Engine != nil {
		return true
	}
	r := c.stopRequest()
	r.MayHaveRun = true
	return c.Stop.Estimate(r).CanFinish
}

// release gives back what was secured and isn't used.
func (c *call) release(s *successor) {
	if s != nil {
		c.Placer.Discard(s.choice)
		c.RetryBudgets.Of(c.service).Return()
	}
}
