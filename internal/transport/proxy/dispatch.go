package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// maxConnectFailures is the number of upstreams that can't be connected to after which a request is given up.
	maxConnectFailures = 4
	// maxRejections is how many rejections as not run may be followed by another attempt, within the retry budget.
	// Rejections don't count as attempts of the route, which limits how many upstreams may have run the request.
	maxRejections = 2
	// maxHold is the longest time that a request waits for an upstream to accept requests again.
	maxHold = 150 * time.Millisecond
	// deadlineGrace is how long after the deadline this daemon still waits for a response, so that it can forward the
	// upstream's own response to the deadline.
	deadlineGrace = 40 * time.Millisecond
	// responsivenessTick is how often a pending attempt checks whether its upstream is still reachable and
	// responsive.
	responsivenessTick = 100 * time.Millisecond
	// rejectedRetryAfter is the Retry-After for requests that upstreams rejected or that timed out before they were
	// sent.
	rejectedRetryAfter = 60 * time.Millisecond
	// maxBufferedBytes is the size up to which a response is buffered before its header is forwarded.
	maxBufferedBytes = 256 << 10
)

// nextStep is what follows after an attempt.
type nextStep uint8

const (
	// stepDone: the caller has got its final response.
	stepDone nextStep = iota
	// stepRetryAny: the request was not sent; the next attempt may go to any upstream.
	stepRetryAny
	// stepFail: the request may have run, has no response and must not be retried.
	stepFail
	// stepRetryOther: another upstream may be tried, because this one did not run the request or the route is
	// repeatable.
	stepRetryOther
)

// progress is what has happened to a request so far on its way to an upstream.
type progress struct {
	placeReq *place.Request
	// held is true once the request has waited for an upstream to accept requests.
	held bool
	// connectFailures counts failed attempts to connect to an upstream.
	connectFailures int
	// priority orders the request at the engine; 0 is the most urgent.
	priority int
}

// run sends the request to upstreams until there is a final response.
func (c *call) run() error {
	c.service = c.pickService()
	budget := c.RetryBudgets.Of(c.service)
	budget.Deposit()
	p := &progress{placeReq: c.placeReq(c.service)}
	for {
		if err := c.checkBeforeAttempt(); err != nil {
			return err
		}
		choice, err := c.choose(p)
		if err != nil {
			if !c.waitForUpstream(err, p) {
				return c.handleBlocked(err)
			}
			continue
		}
		if err := c.shedLoad(choice, p); err != nil {
			c.Placer.Discard(choice)
			return err
		}
		if c.attempts > 0 && !budget.TryWithdraw() {
			c.Placer.Discard(choice)
			return c.endAfterLastAttempt(ReasonUpstreamsRefused)
		}
		step, reason := c.attempt(choice, p)
		if step == stepDone {
			return nil
		}
		if c.isLast(step, p, choice) || !c.evidence.MayRetry(c.r.Context()) {
			return c.endAfterLastAttempt(reason)
		}
	}
}

// choose returns the upstream for the next attempt. A request for which no upstream of a new release takes requests goes
// to one of another release.
func (c *call) choose(p *progress) (*place.Choice, error) {
	r := c.rolloutRequest(p.placeReq)
	p.placeReq.Releases = c.Rollouts.Releases(r)
	choice, err := c.Placer.Choose(p.placeReq)
	if f := p.placeReq.Releases; err != nil && f != nil && !f.Except {
		p.placeReq.Releases = &place.ReleaseFilter{Release: f.Release, Except: true}
		return c.Placer.Choose(p.placeReq)
	}
	return choice, err
}

func (c *call) rolloutRequest(r *place.Request) *canary.Request {
	return &canary.Request{
		Service: r.Service, Route: c.route.Name, Organisation: c.organisationID(), ID: c.req.ID, Retry: c.attempts > 0,
	}
}

// shedLoad refuses a request that can't be answered before its deadline, and lowers the priority of one that would
// miss its target latency below that of requests that can meet theirs.
func (c *call) shedLoad(choice *place.Choice, p *progress) error {
	p.priority = c.priority()
	r := &shed.Request{
		FirstByte: choice.Wait.Total, FirstByteBeforeLate: choice.Wait.BeforeLate, Own: choice.Wait.Own,
		Target: c.route.TargetLatency, UntilDeadline: c.untilDeadline(), Waited: time.Since(c.arrived), Priority: p.priority,
	}
	switch v := c.Shedders.Of(c.service).Decide(r).(type) {
	case *shed.Admit:
		p.priority, choice.Late = v.Priority, v.Late
		if v.Late {
			countLateRequest(c)
		}
	case *shed.Reject:
		if c.mayHaveRun() {
			return nil
		}
		klog.InfoS("Request can't be served in time", "request", c.req.ID, "upstream", choice.Upstream.ID,
			"firstMs", r.FirstByte.Milliseconds(), "ownMs", r.Own.Milliseconds(), "leftMs", r.UntilDeadline.Milliseconds(),
			"retryAfterMs", v.RetryAfter.Milliseconds())
		return c.refundAndRefuse(ReasonTooLate, v.RetryAfter)
	}
	return nil
}

// checkBeforeAttempt returns the error that ends the request if no further attempt is to be made, or nil.
func (c *call) checkBeforeAttempt() error {
	switch {
	case c.callerLeft():
		return errCallerLeft
	case c.untilDeadline() <= 0:
		return c.handleDeadline()
	case !c.stillAuthorised():
		return c.keyWithdrawnError()
	default:
		return c.checkQuarantine()
	}
}

// checkQuarantine returns the error that ends the request if it, or parts of its prompt, are known to crash upstreams, or nil.
func (c *call) checkQuarantine() error {
	err := c.Detector.Check(&c.judged)
	if err == nil {
		return nil
	}
	reason, after := ReasonQuarantined, rejectedRetryAfter
	if q, ok := errors.AsType[*poison.QuarantinedError](err); ok {
		after = q.RetryAfter
		if q.Whole {
			reason = ReasonRequestQuarantined
		}
	}
	klog.InfoS("Request has quarantined prompt parts", "request", c.req.ID, "parts", c.sharedParts(),
		"whole", reason == ReasonRequestQuarantined, "hashes", poison.Set(c.judged.Parts).Key(), "reason", err.Error(), "mayHaveRun", c.mayHaveRun())
	if c.mayHaveRun() {
		return c.endAfterLastAttempt(reason)
	}
	return c.refundAndRefuse(reason, after)
}

// isLast records the attempt that ended with this step in p and reports whether it is the last one.
func (c *call) isLast(step nextStep, p *progress, choice *place.Choice) bool {
	switch step {
	case stepRetryAny:
		p.connectFailures++
		return p.connectFailures >= maxConnectFailures
	case stepRetryOther:
		p.placeReq.Tried = append(p.placeReq.Tried, choice.Upstream.ID)
		return c.possibleRuns() >= c.route.MaxAttempts || c.rejections > maxRejections
	default:
		return true
	}
}

// pickService picks one of the route's services at random, in proportion to their weights.
func (c *call) pickService() view.ServiceID {
	total := 0.0
	for _, s := range c.route.Shares {
		total += s.Weight
	}
	remaining := rand.Float64() * total
	for _, s := range c.route.Shares {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return c.route.Shares[0].Service
}

func (c *call) placeReq(service view.ServiceID) *place.Request {
	w := &place.Request{Service: service, Input: c.req.Input}
	if s := c.config.Services[service]; s == nil || s.Engine == nil {
		return w
	}
	w.Model = c.req.Model
	if c.org != nil && c.org.Isolated {
		w.CacheScope = string(c.org.ID)
	}
	w.Parts = c.req.Parts
	return w
}

// waitForUpstream waits, at most once per request, for an upstream that is expected to accept requests within maxHold
// and a quarter of the time to the deadline. It reports false if waiting doesn't help.
func (c *call) waitForUpstream(err error, p *progress) bool {
	var blocked *place.BlockedError
	if p.held || !errors.As(err, &blocked) || blocked.Reason == place.BlockedNoUpstream {
		return false
	}
	p.held = true
	if blocked.RetryAfter > min(maxHold, c.untilDeadline()/4) {
		return false
	}
	c.sleep(blocked.RetryAfter)
	return true
}

func (c *call) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-c.r.Context().Done():
	}
}

// handleBlocked ends a request for which no upstream can be chosen.
func (c *call) handleBlocked(err error) error {
	var b *place.BlockedError
	after := rejectedRetryAfter
	if errors.As(err, &b) {
		after = b.RetryAfter
		klog.InfoS("No upstream takes the request", "request", c.req.ID, "reason", b.Reason,
			"upstreams", c.Snapshots.Upstreams().Offset, "retryAfterMs", after.Milliseconds())
	}
	if c.mayHaveRun() {
		return c.endAfterLastAttempt(ReasonNoUpstream)
	}
	return c.refundAndRefuse(ReasonNoUpstream, max(after, c.Placer.PausedFor(c.service)))
}

// possibleRuns returns how many upstreams may have run the request.
func (c *call) possibleRuns() int { return c.attempts - c.rejections }

// mayHaveRun reports whether an upstream may have started to run the request.
func (c *call) mayHaveRun() bool { return !c.sentAt.IsZero() }

// handleDeadline ends a request whose deadline has passed.
func (c *call) handleDeadline() error {
	if c.mayHaveRun() {
		return c.endAfterLastAttempt(ReasonTimeout)
	}
	return c.refundAndRefuse(ReasonTimeoutBeforeSending, rejectedRetryAfter)
}

// keyWithdrawnError returns the refusal of a request whose key was withdrawn while it waited.
func (c *call) keyWithdrawnError() error {
	if c.headerSent {
		return &RefusedError{Status: http.StatusBadGateway, Reason: ReasonUnknownKey}
	}
	return &RefusedError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
}

// endAfterLastAttempt ends a request that has no response after its last attempt: it forwards the fallback, if there
// is one, or returns a refusal.
func (c *call) endAfterLastAttempt(reason Reason) error {
	switch {
	case c.headerSent:
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	case c.fallback != nil:
		c.fallback.write(c)
		return nil
	case !c.mayHaveRun():
		return c.refundAndRefuse(reason, max(rejectedRetryAfter, c.Placer.PausedFor(c.service)))
	case reason == ReasonTimeout:
		return &RefusedError{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	}
}

// attempt sends the request to the chosen upstream and handles the response.
func (c *call) attempt(choice *place.Choice, p *progress) (nextStep, Reason) {
	placeReq := p.placeReq
	evidence, err := c.Detector.Begin(choice.Upstream, &c.judged)
	if err != nil {
		c.Placer.Discard(choice)
		return stepFail, ReasonQuarantined
	}
	c.evidence = evidence
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	end := time.AfterFunc(c.untilDeadline()+deadlineGrace, func() { cancel(context.DeadlineExceeded) })
	defer end.Stop()
	c.attemptAt = time.Now()
	tracker := &attemptTracker{
		Tracker: c.Placer.Begin(choice, placeReq),
		rollout: c.Rollouts.Begin(c.rolloutRequest(placeReq), choice.Upstream, choice.QueuedTokens+choice.PrefillTokens),
		queued:  choice.QueuedTokens, evidence: evidence,
	}
	req, err := c.upstreamRequest(ctx, choice, p)
	if err != nil {
		tracker.End(place.OutcomeCancelled)
		return stepFail, ReasonUpstreamBroken
	}
	klog.InfoS("Request sent", "request", c.req.ID, "upstream", choice.Upstream.ID, "attempt", c.attempts+1,
		"weights", choice.WeightVersion, "cost", int64(choice.Cost), "rank", choice.HashRank, "missed", choice.MissedTokens,
		"candidates", choice.Candidates, "upstreamAgeMs", time.Since(choice.Upstream.SeenAt).Milliseconds(),
		"leftMs", c.untilDeadline().Milliseconds(), "cached", choice.Locality, "chain", placeReq.SharedPrefix(), "save", choice.SaveToStore,
		"waitMs", choice.Wait.Total.Milliseconds(), "late", choice.Late, "priority", p.priority, "release", choice.Upstream.Release)
	c.watchUpstream(ctx, cancel, tracker)
	resp, err := c.Pool.Do(req) //nolint:bodyclose // handleResponse closes it
	if err != nil {
		return c.handleSendError(err, context.Cause(ctx), choice, tracker)
	}
	tracker.MarkActive()
	c.attempts++
	return c.handleResponse(ctx, resp, choice, placeReq, tracker)
}

// errUnresponsive is the cause with which an attempt is cancelled whose upstream has become unreachable or hangs.
var errUnresponsive = errors.New("upstream is unreachable or hangs") //nolint:revive // compared by identity only

// watchUpstream cancels an attempt whose upstream becomes unreachable or hangs, if another attempt may follow.
func (c *call) watchUpstream(ctx context.Context, cancel context.CancelCauseFunc, tracker *attemptTracker) {
	if !c.route.Repeatable() || c.possibleRuns()+1 >= c.route.MaxAttempts {
		return
	}
	go func() {
		t := time.NewTicker(responsivenessTick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if tracker.ShouldAbort() {
				cancel(errUnresponsive)
				return
			}
		}
	}()
}

func (c *call) upstreamRequest(ctx context.Context, choice *place.Choice, p *progress) (*http.Request, error) {
	placeReq := p.placeReq
	u := *c.r.URL
	u.Scheme, u.Host, u.User = "http", choice.Upstream.Address, nil
	a := Attempt{
		Upstream:      choice.Upstream,
		UntilDeadline: c.untilDeadline(),
		Organisation:  c.organisationID(),
		LastEventID:   c.lastEventID,
	}
	if placeReq.Model != "" {
		a.WeightVersion = choice.WeightVersion
		a.Priority = p.priority
		a.CacheSalt = place.CacheSalt(choice.WeightVersion, placeReq.CacheScope)
		a.FetchFrom, a.SaveTo = c.cacheAddresses(choice)
	}
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &u,
		Host:          c.r.Host,
		Header:        c.Dialect.UpstreamHeaders(c.r.Header, a),
		ContentLength: int64(len(c.body)),
	}
	// With a body but without GetBody the transport never sends the request a second time on its own. It sends no body
	// if there is nothing to read.
	req.Body = io.NopCloser(bytes.NewReader(c.body))
	if req.URL.Path == "" {
		return nil, &url.Error{Op: c.r.Method, URL: c.r.URL.String(), Err: http.ErrMissingFile}
	}
	guard.Check(req.Header.Get("Authorization") == "", guard.KeyStripped, "request %s", c.req.ID)
	return req.WithContext(ctx), nil
}

// cacheAddresses returns the addresses to fetch cached parts from and to save them to; empty for none.
func (c *call) cacheAddresses(choice *place.Choice) (from, to string) {
	if choice.Fetch == place.FetchFromEngine {
		from = choice.SourceAddress
	}
	if choice.Fetch == place.FetchFromStore {
		from = choice.Store.Address
	}
	if choice.SaveToStore {
		to = choice.Store.Address
	}
	return from, to
}

func (c *call) priority() int {
	if c.org != nil && c.org.HasPriority {
		return c.org.Priority
	}
	return c.route.Priority
}

// handleSendError handles an attempt that got no response.
func (c *call) handleSendError(err, cause error, choice *place.Choice, tracker *attemptTracker) (nextStep, Reason) {
	var send *httpc.SendError
	notSent := errors.As(err, &send) && send.NotSent
	outcome, step, reason := place.OutcomeBroken, stepFail, ReasonUpstreamBroken
	switch {
	case c.callerLeft():
		outcome = place.OutcomeCancelled
	case notSent && isConnectError(err):
		outcome, step, reason = place.OutcomeUnreachable, stepRetryAny, ReasonUnreachable
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.Detector.MarkRefused(choice.Upstream)
		}
	case notSent:
		// The upstream had closed the reused connection; a new connection may work.
		outcome, step, reason = place.OutcomeCancelled, stepRetryAny, ReasonUnreachable
	case errors.Is(cause, context.DeadlineExceeded):
		outcome, reason = place.OutcomeTimeout, ReasonTimeout
	case errors.Is(cause, errUnresponsive):
		outcome, step, reason = place.OutcomeTimeout, stepRetryOther, ReasonTimeout
	case c.route.Repeatable():
		step = stepRetryOther
	}
	tracker.End(outcome)
	if !notSent {
		c.attempts++
		c.markSent()
	}
	klog.InfoS("Attempt failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "reason", reason,
		"sent", !notSent, "error", err.Error(), "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	return step, reason
}

// sharedParts returns the ids of the parts of the prompt that other requests may share, for logs.
func (c *call) sharedParts() []string {
	var ids []string
	for _, p := range c.req.Parts[:max(0, len(c.req.Parts)-1)] {
		ids = append(ids, p.ID)
	}
	return ids
}

// markSent records that the request may have run.
func (c *call) markSent() {
	if c.sentAt.IsZero() {
		c.sentAt = time.Now()
	}
}

func isConnectError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || httpc.IsTimeout(err)
}
