package proxy

import (
	"context"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
)

const (
	// successorInterval is the time between two tries to secure another attempt, and for how long what was secured holds.
	successorInterval = 300 * time.Millisecond
	// heardLately is how long after it was last heard an upstream needs no connection to show that it can be reached.
	heardLately = time.Second
)

// successor is what was reserved for the next attempt before the present one is cancelled: an upstream, and a retry of the budget.
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

// secure takes what another attempt needs, at this daemon or, if it can connect to no upstream, at a peer. The result is nil without an obstacle
// if a peer may run the request. It runs beside the attempt.
func (c *call) secure(ctx context.Context, r *place.Request) (*successor, obstacle) {
	if o := c.obstacle(); o != obstacleNone {
		return nil, o
	}
	r.CacheScope = c.cacheScope()
	choice, err := c.choose(r, true)
	switch {
	case err != nil && c.isCutOff() && c.hop == nil && !c.detoured && c.Peers.HasCandidate(c.detourRequest(nil)):
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
