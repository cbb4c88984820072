package proxy

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// attemptWatcher cancels an attempt in two cases: its upstream is unreachable or hangs, and another attempt is secured or has an answer; or it has no first token
// shortly before the limit on its replaced weights, after which the engine must not begin it. To cancel an attempt closes its connection, and
// engines drop requests whose connections close.
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
	// spare is an attempt beside this one; nil if there was none. It is read after done.
	spare *spare
	// triedAt is when it was last tried to secure it.
	triedAt   time.Time
	obstacles obstacleLog
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

// Close ends the watch and returns what was secured for the next attempt, and the attempt beside this one; nil for nothing.
func (w *attemptWatcher) Close() (*successor, *spare) {
	if w == nil {
		return nil, nil
	}
	w.cancel(nil)
	<-w.done
	return w.next, w.spare
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
		if w.mayAbort && reading && wasReading && w.tracker.ShouldAbort() && (w.mayFollow(ctx) || w.hasSpareAnswer(ctx)) {
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

// hasSpareAnswer tries another upstream beside the silent one, once, if a planned stop is about to end the request. It reports whether that one's
// answer is there and the caller has got none.
func (w *attemptWatcher) hasSpareAnswer(ctx context.Context) bool {
	if w.spare != nil || !w.call.needsSpare() {
		return false
	}
	w.spare = w.call.trySpare(ctx, &w.nextReq)
	return w.spare.answer != nil && !w.call.reply.isFinal.Load()
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
