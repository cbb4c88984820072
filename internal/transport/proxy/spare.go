package proxy

import (
	"context"
	"errors"
	"io"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// spareTime is how long before the end of a planned stop a request at a silent upstream is sent to another one as well. An upstream may go on
// for 400 ms with a request that another one has got; the stop ends both.
const spareTime = 300 * time.Millisecond

// spare is an attempt beside another one that a planned stop is about to end.
type spare struct {
	// sent says that the request may have reached the upstream, rejected that it said that it didn't run it.
	sent, rejected bool
	// answer is the whole answer; nil if there is none.
	answer *bufferedResponse
}

// needsSpare reports whether a planned stop is about to end the request, for which no other attempt can follow the present one.
func (c *call) needsSpare() bool {
	_, end, planned := c.Stop.Plan()
	return planned && time.Until(end) <= spareTime && c.route.Kind != kindStream && c.obstacle() == obstacleStop
}

// trySpare sends the request to another upstream and reads the answer. It runs beside the attempt.
func (c *call) trySpare(ctx context.Context, r *place.Request) *spare {
	s := &spare{}
	r.CacheScope = c.cacheScope()
	choice, err := c.choose(r, true)
	if err != nil {
		return s
	}
	budget := c.RetryBudgets.Of(c.service)
	if !budget.TryWithdraw() {
		c.Placer.Discard(choice)
		return s
	}
	judged := c.judged
	judged.Fingerprint = c.newFingerprint
	evidence, err := c.Detector.Begin(choice.Upstream, &judged)
	if err != nil {
		budget.Return()
		c.Placer.Discard(choice)
		return s
	}
	tracker := &attemptTracker{
		Tracker: c.Placer.Begin(choice, r),
		rollout: c.Rollouts.Begin(c.rolloutRequest(r, true), choice.Upstream, choice.QueuedTokens+choice.PrefillTokens),
		queued:  choice.QueuedTokens, evidence: evidence, sentAt: time.Now(), onBegin: func() {},
	}
	outcome, err := c.runSpare(ctx, s, choice, r)
	if ctx.Err() != nil && s.answer == nil {
		outcome = place.OutcomeCancelled
	}
	tracker.End(outcome)
	klog.InfoS("Request tried elsewhere before the stop", "request", c.req.ID, "upstream", choice.Upstream.ID, "sent", s.sent,
		"answered", s.answer != nil, "error", err, "sinceSentMs", time.Since(tracker.sentAt).Milliseconds())
	countSpare(s)
	return s
}

// runSpare runs the attempt and returns its outcome. The error is nil if the upstream answered.
func (c *call) runSpare(ctx context.Context, s *spare, choice *place.Choice, r *place.Request) (place.Outcome, error) {
	req, err := c.upstreamRequest(ctx, choice, &progress{placeReq: r})
	if err != nil {
		return place.OutcomeCancelled, err
	}
	resp, err := c.Pool.DoHeld(req)
	if err != nil {
		var send *httpc.SendError
		s.sent = !errors.As(err, &send) || !send.NotSent
		return spareFailure(err, s.sent), err
	}
	defer resp.Body.Close()
	s.sent = true
	parsed := c.Dialect.ParseResponse(resp.StatusCode, resp.Header)
	if !c.isOwnResponse(resp, &parsed) {
		httpc.Retire(resp)
		countForeignAnswer(parsed.NotRun)
		return place.OutcomeBroken, nil
	}
	httpc.Release(resp)
	if parsed.NotRun {
		s.rejected = true
		return place.OutcomeRejected, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	switch {
	case err != nil:
		return place.OutcomeBroken, err
	case !isSuccess(resp.StatusCode) || !parsed.Signed || len(body) == maxBufferedBytes:
		return place.OutcomeFailed, nil
	}
	s.answer = &bufferedResponse{status: resp.StatusCode, header: c.Dialect.CallerHeaders(resp.Header), body: body}
	return place.OutcomeSucceeded, nil
}

// spareFailure classifies an attempt that got no response.
func spareFailure(err error, sent bool) place.Outcome {
	switch {
	case !sent && isConnectError(err):
		return place.OutcomeUnreachable
	case !sent:
		return place.OutcomeCancelled
	case httpc.IsNoResponse(err):
		return place.OutcomeFailed
	default:
		return place.OutcomeBroken
	}
}

// endSpare counts the attempt beside one that has ended, and sends its answer unless that one's has begun. It reports whether the caller has it.
func (c *call) endSpare(s *spare, step nextStep) bool {
	if s == nil {
		return false
	}
	if s.sent {
		c.attempts++
	}
	switch {
	case s.rejected:
		c.rejections++
	case s.sent:
		c.markSent()
	}
	if step == stepDone || s.answer == nil || c.reply.begun() {
		return false
	}
	c.reply.send(s.answer)
	c.answered = true
	return true
}
