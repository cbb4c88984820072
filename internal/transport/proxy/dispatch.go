package proxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// maxConnectFailures is the number of upstreams that can't be connected to after which a request is given up.
	maxConnectFailures = 4
	// maxRejections is how many rejections as not run may be followed by another attempt, within the retry budget.
	// Rejections don't count as attempts of the route, which limits how many upstreams may have run the request.
	maxRejections = 2
	// maxHold is the longest time that a request waits for an upstream to accept requests again.
	maxHold = 150 * time.Millisecond
	// rejectedRetryAfter is the Retry-After for requests that upstreams rejected or that timed out before they were
	// sent.
	rejectedRetryAfter = 60 * time.Millisecond
	// maxBufferedBytes is the size up to which a response is buffered before its header is forwarded. An upstream may answer hundreds
	// of requests at once with bodies that don't end.
	maxBufferedBytes = 64 << 10
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
	// next is what was secured for the next attempt before the last one was given up; nil for nothing.
	next *successor
	// spare ran beside the last attempt; nil if there was none.
	spare *spare
}

// run sends the request to upstreams until there is a final response.
func (c *call) run() error {
	if !c.budgeted {
		c.RetryBudgets.Of(c.service).Deposit()
		c.budgeted = true
	}
	p := &progress{placeReq: c.placeReq(c.service)}
	defer func() { c.release(p.next) }()
	for {
		choice, err := c.nextChoice(p)
		if choice == nil {
			return err
		}
		p.spare = nil
		step, reason := c.attempt(choice, p)
		if c.endSpare(p.spare, step) || step == stepDone {
			return nil
		}
		if c.isLast(step, p, choice) || !c.evidence.MayRetry(c.ctx) {
			return c.endAttempts(p, reason)
		}
	}
}

// nextChoice returns the upstream for the next attempt: the one that was secured, or one that is chosen now. Without one, the request has
// ended with the error.
func (c *call) nextChoice(p *progress) (*place.Choice, error) {
	if p.next != nil && (time.Since(p.next.securedAt) > successorInterval || !c.Placer.Allows(p.next.choice, p.next.request)) {
		// The cancelled attempt was still writing to its caller, who read nothing, so that the check when it was secured is out of date, or
		// an operator has closed the upstream to the request.
		c.release(p.next)
		p.next = nil
	}
	if p.next != nil {
		return c.useSuccessor(p)
	}
	var choice *place.Choice
	for choice == nil {
		if err := c.checkBeforeAttempt(); err != nil {
			return nil, err
		}
		p.placeReq.CacheScope = c.cacheScope()
		var err error
		if choice, err = c.choose(p.placeReq, c.isRepeat()); err != nil && !c.waitForUpstream(err, p) {
			return nil, c.endBlocked(err)
		}
	}
	if err := c.shedLoad(choice, p); err != nil {
		c.Placer.Discard(choice)
		return nil, err
	}
	if c.isRepeat() && !c.RetryBudgets.Of(c.service).TryWithdraw() {
		c.Placer.Discard(choice)
		klog.InfoS("No retry budget", "request", c.req.ID, "service", c.service, "attempts", c.attempts, "mayHaveRun", c.mayHaveRun(),
			"begun", c.reply.begun())
		return nil, c.endAfterLastAttempt(ReasonUpstreamsRefused)
	}
	return choice, nil
}

// useSuccessor returns the upstream that was secured for the next attempt.
func (c *call) useSuccessor(p *progress) (*place.Choice, error) {
	s := p.next
	if err := c.checkBeforeAttempt(); err != nil {
		return nil, err
	}
	if err := c.shedLoad(s.choice, p); err != nil {
		return nil, err
	}
	p.next = nil
	if !c.isRepeat() {
		// The attempt before ended unsent.
		c.RetryBudgets.Of(c.service).Return()
	}
	p.placeReq.CacheScope, p.placeReq.Releases, p.placeReq.Homes = s.request.CacheScope, s.request.Releases, s.request.Homes
	return s.choice, nil
}

// endBlocked ends a request for which no upstream can be chosen: a peer runs it, or it has none.
func (c *call) endBlocked(blocked error) error {
	if c.isCutOff() {
		if ended, err := c.passOn(); ended {
			return err
		}
	}
	return c.handleBlocked(blocked)
}

// endAttempts ends a request after its last attempt. A peer runs it if too many upstreams could not be connected to.
func (c *call) endAttempts(p *progress, reason Reason) error {
	if p.connectFailures >= maxConnectFailures && (!c.mayHaveRun() || c.evidence.MayRetry(c.ctx)) {
		if ended, err := c.passOn(); ended {
			return err
		}
	}
	return c.endAfterLastAttempt(reason)
}

// choose returns the upstream for an attempt. A request for which no upstream of a new release takes requests goes to one of another release.
func (c *call) choose(r *place.Request, repeat bool) (*place.Choice, error) {
	r.Homes = c.homes()
	r.CacheScope.Homes = r.Homes.Digest()
	r.Releases = c.Rollouts.Releases(c.rolloutRequest(r, repeat))
	choice, err := c.Placer.Choose(r)
	if f := r.Releases; err != nil && f != nil && !f.Except {
		r.Releases = &place.ReleaseFilter{Release: f.Release, Except: true}
		return c.Placer.Choose(r)
	}
	return choice, err
}

func (c *call) rolloutRequest(r *place.Request, repeat bool) *canary.Request {
	return &canary.Request{
		Service: r.Service, Route: c.route.Name, Organisation: c.organisationID(), ID: c.req.ID, Retry: repeat,
	}
}

// shedLoad refuses a request that can't be answered before its deadline, and lowers the priority of one that would
// miss its target latency below that of requests that can meet theirs.
func (c *call) shedLoad(choice *place.Choice, p *progress) error {
	p.priority = p.placeReq.Priority
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
	}
	if err := c.checkStop(); err != nil {
		return err
	}
	return c.checkQuarantine()
}

// checkStop returns the error that ends the request if it can't end before a planned stop of the daemon, or nil. Callers find
// another daemon at once. A request that may have run can't be refused as not run any more, so only the stop itself ends it.
func (c *call) checkStop() error {
	e := c.Stop.Estimate(c.stopRequest())
	c.stopEstimate = e
	if (e.CanFinish || c.mayHaveRun()) && !c.stopped() {
		c.trackOpen()
		return nil
	}
	klog.InfoS("Request can't end before the daemon stops", append([]any{
		"request", c.req.ID, "route", c.route.Name, "leftMs", c.untilDeadline().Milliseconds(), "mayHaveRun", c.mayHaveRun(),
	}, c.stopDetails()...)...)
	if c.mayHaveRun() {
		return c.endAfterLastAttempt(ReasonStopping)
	}
	return c.refundAndRefuse(ReasonStopping, rejectedRetryAfter)
}

// trackOpen adds the request to those that a planned stop may cut.
func (c *call) trackOpen() {
	if c.open == nil {
		c.open = &shed.OpenRequest{ID: c.req.ID, Route: c.route.Name, ArrivedAt: c.arrived, AdmittedAt: time.Now(), Estimate: c.stopEstimate}
		c.Stop.Track(c.open)
	}
}

func (c *call) stopRequest() shed.StopRequest {
	return shed.StopRequest{
		Route: c.route.Name, UntilDeadline: c.untilDeadline(), AtMostOnce: !c.route.Repeatable(), PassedOn: c.hop != nil,
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
		return c.possibleRuns() >= c.maxRuns() || c.rejections > maxRejections
	default:
		return true
	}
}

// pickService picks one of the route's services at random, in proportion to their weights. A request that a peer passed on goes to the
// service that the peer picked, if the route still has it.
func (c *call) pickService() view.ServiceID {
	if c.hop != nil && slices.ContainsFunc(c.route.Shares, func(s view.Share) bool { return s.Service == c.hop.service && s.Weight > 0 }) {
		return c.hop.service
	}
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
	w := &place.Request{Service: service, Input: c.req.Input, Priority: c.priority()}
	if s := c.config.Services[service]; s == nil || s.Engine == nil {
		return w
	}
	w.Model = c.req.Model
	w.Parts = c.req.Parts
	return w
}

// cacheScope returns whose cached parts the request may use under the configuration in force, which may be newer than that under which
// it arrived.
func (c *call) cacheScope() view.CacheScope {
	return c.Snapshots.Config().CacheScope(c.organisationID())
}

// homes returns the regions that may serve the request. Those of its organisation are taken from the configuration in force, as its cache
// scope is.
func (c *call) homes() view.Homes {
	if len(c.Regions) == 0 {
		return nil
	}
	o := c.org
	if now := c.Snapshots.Config(); o != nil && now.Organisations[o.ID] != nil {
		o = now.Organisations[o.ID]
	}
	return c.Regions.Homes(c.route, o)
}

// waitForUpstream waits, at most once per request, for an upstream that is expected to accept requests within maxHold
// and a quarter of the time to the deadline. It reports false if waiting doesn't help.
func (c *call) waitForUpstream(err error, p *progress) bool {
	var blocked *place.BlockedError
	if p.held || !errors.As(err, &blocked) || !blocked.Ends() {
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
	case <-c.ctx.Done():
	}
}

// handleBlocked ends a request for which no upstream can be chosen.
func (c *call) handleBlocked(err error) error {
	var b *place.BlockedError
	after := rejectedRetryAfter
	if errors.As(err, &b) {
		after = b.RetryAfter
		klog.InfoS("No upstream takes the request", "request", c.req.ID, "reason", b.Reason, "mayHaveRun", c.mayHaveRun(),
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
	if c.reply.begun() {
		return &RefusedError{Status: http.StatusBadGateway, Reason: ReasonUnknownKey}
	}
	return &RefusedError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
}

// endAfterLastAttempt ends a request that has no response after its last attempt: it forwards the fallback, if there
// is one, or returns a refusal.
func (c *call) endAfterLastAttempt(reason Reason) error {
	if reason == ReasonQuarantined && !c.mayHaveRun() {
		// The quarantine began, or its probe was taken, after the check of this round.
		if err := c.checkQuarantine(); err != nil {
			return err
		}
	}
	switch {
	case c.reply.begun():
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	case c.fallback != nil:
		c.reply.send(c.fallback)
		return nil
	case !c.mayHaveRun():
		return c.refundAndRefuse(reason, max(rejectedRetryAfter, c.Placer.PausedFor(c.service)))
	case reason == ReasonTimeout:
		return &RefusedError{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	}
}

// priority returns the request's priority at the upstreams of its service.
func (c *call) priority() int { return c.Ranks.Of(c.config).Priority(c.service, c.org, c.route) }
