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
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// maxConnects bounds the upstreams that are tried for a request while none of them can be connected to.
	maxConnects = 4
	// maxRejections is how many upstreams may say that they did not run a request before it is refused, within the retry
	// budget. The route's attempts count those that may have run it.
	maxRejections = 2
	// holdMost is how long a request waits for an upstream that is about to take work.
	holdMost = 150 * time.Millisecond
	// endGrace is how much later than an upstream this daemon gives up, so that the upstream's own answer arrives.
	endGrace = 40 * time.Millisecond
	// silentTick is how often a waiting request looks whether its upstream is lost.
	silentTick = 100 * time.Millisecond
	// shedRetry is when callers come back whose request an upstream refused.
	shedRetry = 60 * time.Millisecond
	// keepMost is the size up to which a whole answer is read before its head is passed on.
	keepMost = 256 << 10
)

// verdict is what follows from an attempt.
type verdict uint8

const (
	// verdictDone: the caller has its final answer.
	verdictDone verdict = iota
	// verdictAgain: nothing was sent, the next attempt may go anywhere.
	verdictAgain
	// verdictFailed: the request may have run and has no answer.
	verdictFailed
	// verdictElsewhere: another upstream may be tried, as this one did not run the request or the route allows a repeat.
	verdictElsewhere
)

// progress is what a request has been through on its way to an upstream.
type progress struct {
	work *place.Request
	// held is true once the request has waited for an upstream to take work.
	held bool
	// connects counts upstreams that could not be connected to.
	connects int
	// priority orders the request at the engine.
	priority int
}

// run sends the request until there is a final answer.
func (c *call) run() error {
	service := c.pickService()
	budget := c.Budgets.Of(service)
	budget.Deposit()
	p := &progress{work: c.work(service)}
	for {
		if err := c.mayGoOn(); err != nil {
			return err
		}
		choice, err := c.Placer.Choose(p.work)
		if err != nil {
			if !c.hold(err, p) {
				return c.blocked(err)
			}
			continue
		}
		if err := c.triage(service, choice, p); err != nil {
			return err
		}
		if c.attempts > 0 && !budget.TryWithdraw() {
			return c.exhausted(ReasonUpstreamsRefused)
		}
		v, reason := c.attempt(choice, p)
		if v == verdictDone {
			return nil
		}
		if c.isLast(v, p, choice) {
			return c.exhausted(reason)
		}
	}
}

// triage refuses a request that can't be answered before its caller leaves, and puts one that would be late behind those
// that can be in time.
func (c *call) triage(service view.ServiceID, choice *place.Choice, p *progress) error {
	p.priority = c.priority()
	r := &shed.Request{
		FirstByte: choice.Wait.Total, FirstByteBeforeLate: choice.Wait.BeforeLate, Own: choice.Wait.Own,
		Target: c.route.TargetLatency, UntilDeadline: c.left(), Waited: time.Since(c.arrived), Priority: p.priority,
	}
	switch v := c.Shedders.Of(service).Decide(r).(type) {
	case *shed.Admit:
		p.priority, choice.Late = v.Priority, v.Late
		if v.Late {
			countLate(c)
		}
	case *shed.Reject:
		if c.mayHaveRun() {
			return nil
		}
		klog.InfoS("Request can't be served in time", "request", c.req.ID, "upstream", choice.Upstream.ID,
			"firstMs", r.FirstByte.Milliseconds(), "ownMs", r.Own.Milliseconds(), "leftMs", r.UntilDeadline.Milliseconds(),
			"retryAfterMs", v.RetryAfter.Milliseconds())
		return c.notRun(ReasonTooLate, v.RetryAfter)
	}
	return nil
}

// mayGoOn ends a request that needs no further attempt.
func (c *call) mayGoOn() error {
	switch {
	case c.gone():
		return errCallerLeft
	case c.left() <= 0:
		return c.late()
	case !c.authorised():
		return c.withdrawn()
	default:
		return nil
	}
}

// isLast reports whether no attempt may follow one that ended so.
func (c *call) isLast(v verdict, p *progress, choice *place.Choice) bool {
	switch v {
	case verdictAgain:
		p.connects++
		return p.connects >= maxConnects
	case verdictElsewhere:
		p.work.Tried = append(p.work.Tried, choice.Upstream.ID)
		return c.runs() >= c.route.MaxAttempts || c.rejections > maxRejections
	default:
		return true
	}
}

// pickService picks one of the route's services by their weights.
func (c *call) pickService() view.ServiceID {
	total := 0.0
	for _, s := range c.route.Shares {
		total += s.Weight
	}
	at := rand.Float64() * total
	for _, s := range c.route.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return c.route.Shares[0].Service
}

func (c *call) work(service view.ServiceID) *place.Request {
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

// hold waits once for an upstream that is about to take work; it reports false if waiting doesn't help.
func (c *call) hold(err error, p *progress) bool {
	var blocked *place.BlockedError
	if p.held || !errors.As(err, &blocked) || blocked.Reason == place.BlockedNoUpstream {
		return false
	}
	p.held = true
	if blocked.RetryAfter > min(holdMost, c.left()/4) {
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

// blocked refuses a request that no upstream takes.
func (c *call) blocked(err error) error {
	var b *place.BlockedError
	after := shedRetry
	if errors.As(err, &b) {
		after = b.RetryAfter
		klog.InfoS("No upstream takes the request", "request", c.req.ID, "reason", b.Reason,
			"upstreams", c.Snapshots.Upstreams().Offset, "retryAfterMs", after.Milliseconds())
	}
	if c.mayHaveRun() {
		return c.exhausted(ReasonNoUpstream)
	}
	return c.notRun(ReasonNoUpstream, after)
}

// runs returns how many upstreams may have run the request.
func (c *call) runs() int { return c.attempts - c.rejections }

// mayHaveRun reports whether an upstream may have begun to work on the request.
func (c *call) mayHaveRun() bool { return !c.sentAt.IsZero() }

// late answers a request whose time is over.
func (c *call) late() error {
	if c.mayHaveRun() {
		return c.exhausted(ReasonTimeout)
	}
	return c.notRun(ReasonTimeoutBeforeSending, shedRetry)
}

// withdrawn answers a request whose key was withdrawn while it waited.
func (c *call) withdrawn() error {
	if c.headed {
		return &RefusedError{Status: http.StatusBadGateway, Reason: ReasonUnknownKey}
	}
	return &RefusedError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
}

// exhausted answers a request after the last attempt.
func (c *call) exhausted(reason Reason) error {
	switch {
	case c.headed:
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	case c.kept != nil:
		c.kept.write(c)
		return nil
	case !c.mayHaveRun():
		return c.notRun(reason, shedRetry)
	case reason == ReasonTimeout:
		return &RefusedError{Status: http.StatusGatewayTimeout, Reason: reason}
	default:
		return &RefusedError{Status: http.StatusBadGateway, Reason: reason}
	}
}

// attempt sends the request to the chosen upstream and passes its answer on.
func (c *call) attempt(choice *place.Choice, p *progress) (verdict, Reason) {
	work := p.work
	ctx, cancel := context.WithCancelCause(c.r.Context())
	defer cancel(nil)
	end := time.AfterFunc(c.left()+endGrace, func() { cancel(context.DeadlineExceeded) })
	defer end.Stop()
	ticket := c.Placer.Begin(choice, work)
	req, err := c.request(ctx, choice, p)
	if err != nil {
		ticket.End(place.OutcomeCancelled)
		return verdictFailed, ReasonUpstreamBroken
	}
	klog.InfoS("Request sent", "request", c.req.ID, "upstream", choice.Upstream.ID, "attempt", c.attempts+1,
		"weights", choice.WeightVersion, "cost", int64(choice.Cost), "rank", choice.HashRank, "missed", choice.MissedTokens,
		"candidates", choice.Candidates, "upstreamAgeMs", time.Since(choice.Upstream.SeenAt).Milliseconds(),
		"leftMs", c.left().Milliseconds(), "cached", choice.Locality, "chain", work.SharedPrefix(), "save", choice.SaveToStore,
		"waitMs", choice.Wait.Total.Milliseconds(), "late", choice.Late, "priority", p.priority)
	c.watchSilence(ctx, cancel, ticket)
	resp, err := c.Pool.Do(req) //nolint:bodyclose // receive closes it
	if err != nil {
		return c.failed(err, context.Cause(ctx), choice, ticket)
	}
	ticket.MarkActive()
	c.attempts++
	return c.receive(ctx, resp, choice, work, ticket)
}

// errSilent ends an attempt whose answer did not begin in time.
var errSilent = errors.New("the answer did not begin in time") //nolint:revive // compared by identity only

// watchSilence ends an attempt at an upstream that is lost, where another one may take over.
func (c *call) watchSilence(ctx context.Context, cancel context.CancelCauseFunc, ticket *place.Tracker) {
	if !c.route.Repeatable() || c.runs()+1 >= c.route.MaxAttempts {
		return
	}
	go func() {
		t := time.NewTicker(silentTick)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if ticket.ShouldAbort() {
				cancel(errSilent)
				return
			}
		}
	}()
}

func (c *call) request(ctx context.Context, choice *place.Choice, p *progress) (*http.Request, error) {
	work := p.work
	u := *c.r.URL
	u.Scheme, u.Host, u.User = "http", choice.Upstream.Address, nil
	a := Attempt{
		Upstream:      choice.Upstream,
		UntilDeadline: c.left(),
		Organisation:  c.organisation(),
		LastEventID:   c.delivered,
	}
	if work.Model != "" {
		a.WeightVersion = choice.WeightVersion
		a.Priority = p.priority
		a.CacheSalt = place.CacheSalt(choice.WeightVersion, work.CacheScope)
		a.FetchFrom, a.SaveTo = c.cacheSources(choice)
	}
	req := &http.Request{
		Method:        c.r.Method,
		URL:           &u,
		Host:          c.r.Host,
		Header:        c.Dialect.UpstreamHeaders(c.r.Header, a),
		ContentLength: int64(len(c.body)),
	}
	if len(c.body) > 0 || !c.route.Repeatable() {
		// Without GetBody the transport never sends a request twice by itself.
		req.Body = io.NopCloser(bytes.NewReader(c.body))
	}
	if req.URL.Path == "" {
		return nil, &url.Error{Op: c.r.Method, URL: c.r.URL.String(), Err: http.ErrMissingFile}
	}
	guard.Check(req.Header.Get("Authorization") == "", guard.KeyStripped, "request %s", c.req.ID)
	return req.WithContext(ctx), nil
}

// cacheSources returns where cached parts come from and where they are kept.
func (c *call) cacheSources(choice *place.Choice) (from, to string) {
	if choice.Fetch == place.FetchEngine {
		from = choice.SourceAddress
	}
	if choice.Fetch == place.FetchStore {
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

// failed judges an attempt that got no answer.
func (c *call) failed(err, cause error, choice *place.Choice, ticket *place.Tracker) (verdict, Reason) {
	var send *httpc.SendError
	notSent := errors.As(err, &send) && send.NotSent
	outcome, v, reason := place.OutcomeBroken, verdictFailed, ReasonUpstreamBroken
	switch {
	case c.gone():
		outcome = place.OutcomeCancelled
	case notSent && isDial(err):
		outcome, v, reason = place.OutcomeUnreachable, verdictAgain, ReasonUnreachable
	case notSent:
		// A kept connection had ended; a new one may work.
		outcome, v, reason = place.OutcomeCancelled, verdictAgain, ReasonUnreachable
	case errors.Is(cause, context.DeadlineExceeded):
		outcome, reason = place.OutcomeTimeout, ReasonTimeout
	case errors.Is(cause, errSilent):
		outcome, v, reason = place.OutcomeTimeout, verdictElsewhere, ReasonTimeout
	case c.route.Repeatable():
		v = verdictElsewhere
	}
	ticket.End(outcome)
	if !notSent {
		c.attempts++
		c.sent()
	}
	klog.InfoS("Attempt failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "reason", reason,
		"sent", !notSent, "error", err.Error())
	return v, reason
}

// sent notes that the request may have run.
func (c *call) sent() {
	if c.sentAt.IsZero() {
		c.sentAt = time.Now()
	}
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || httpc.IsTimeout(err)
}
