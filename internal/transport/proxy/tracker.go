package proxy

import (
	"sync/atomic"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/coordination/moves"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// attemptTracker reports the course of an attempt to the placer and to the judgement of releases.
type attemptTracker struct {
	*place.Tracker
	rollout  moves.Attempt
	evidence *poison.Attempt
	// sentAt is when the attempt began.
	sentAt time.Time
	// queued is the number of prompt tokens that the engine had to compute for other requests.
	queued ident.Tokens
	// reads counts the reads of the response's body, which stand for tokens.
	reads ident.Tokens
	// hasBegun is set by markBegun, which then calls onBegin.
	hasBegun atomic.Bool
	onBegin  func()
}

// markBegun records that the upstream has begun to answer: with bytes of an event of a stream, or of another response's body. A header or a comment
// may come while the request waits.
func (t *attemptTracker) markBegun() {
	t.hasBegun.Store(true)
	t.onBegin()
}

// markRead records that a part of a stream has come.
func (t *attemptTracker) markRead() {
	t.MarkActive()
	t.evidence.MarkFirstEvent()
	t.rollout.FirstToken(t.queued)
	t.reads++
	t.rollout.Tokens(t.reads)
}

// End records the outcome of the attempt.
func (t *attemptTracker) End(o place.Outcome) {
	t.Tracker.End(o)
	if o == place.OutcomeSucceeded {
		t.rollout.FirstToken(t.queued)
	}
	t.rollout.End(rolloutOutcome(o), t.reads)
	t.evidence.End(evidenceOutcome(o))
}

// evidenceOutcome returns what the outcome of an attempt says about the request.
func evidenceOutcome(o place.Outcome) poison.Outcome {
	switch o {
	case place.OutcomeSucceeded:
		return poison.OutcomeAnswered
	case place.OutcomeBroken:
		return poison.OutcomeBroken
	default:
		return poison.OutcomeOther
	}
}

// rolloutOutcome returns what the outcome of an attempt says about the release of its upstream.
func rolloutOutcome(o place.Outcome) moves.Outcome {
	switch o {
	case place.OutcomeSucceeded:
		return moves.OutcomeComplete
	case place.OutcomeFailed, place.OutcomeTimeout:
		return moves.OutcomeFailed
	case place.OutcomeBroken:
		return moves.OutcomeBroken
	case place.OutcomeUnreachable:
		return moves.OutcomeUnreachable
	default:
		return moves.OutcomeIgnored
	}
}
