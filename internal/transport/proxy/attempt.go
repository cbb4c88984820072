package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// deadlineGrace is how long after the deadline this daemon still waits for a response, so that it can forward the
	// upstream's own response to the deadline.
	deadlineGrace = 40 * time.Millisecond
	// responsivenessTick is how often a pending attempt checks whether its upstream is still reachable and
	// responsive.
	responsivenessTick = 100 * time.Millisecond
)

// attempt sends the request to the chosen upstream and handles the response.
func (c *call) attempt(choice *place.Choice, p *progress) (nextStep, Reason) {
	placeReq := p.placeReq
	evidence, err := c.Detector.Begin(choice.Upstream, &c.judged)
	if err != nil {
		c.Placer.Discard(choice)
		return stepFail, ReasonQuarantined
	}
	c.evidence = evidence
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	end := time.AfterFunc(c.untilDeadline()+deadlineGrace, func() { cancel(context.DeadlineExceeded) })
	defer end.Stop()
	c.attemptAt = time.Now()
	tracker := &attemptTracker{
		Tracker: c.Placer.Begin(choice, placeReq),
		rollout: c.Rollouts.Begin(c.rolloutRequest(placeReq, c.isRepeat()), choice.Upstream, choice.QueuedTokens+choice.PrefillTokens),
		queued:  choice.QueuedTokens, evidence: evidence, sentAt: c.attemptAt,
		onBegin: func() { c.logBegin(choice, placeReq) },
	}
	req, err := c.upstreamRequest(ctx, choice, p)
	if err != nil {
		tracker.End(place.OutcomeCancelled)
		return stepFail, ReasonUpstreamBroken
	}
	klog.InfoS("Request sent", "request", c.req.ID, "upstream", choice.Upstream.ID, "attempt", c.attempts+1,
		"weights", choice.WeightVersion, "replacedMs", choice.ReplacedFor.Milliseconds(), "named", choice.Named.Version,
		"namedAgeMs", choice.Named.Age().Milliseconds(), "namedObserved", choice.Named.NamedAtObserved, "namedOffset", choice.Named.Offset, "cost", int64(choice.Cost), "rank", choice.HashRank, "missed", choice.MissedTokens,
		"candidates", choice.Candidates, "upstreamAgeMs", time.Since(choice.Upstream.SeenAt).Milliseconds(),
		"leftMs", c.untilDeadline().Milliseconds(), "cached", choice.Locality, "chain", placeReq.SharedPrefix(), "save", choice.SaveToStore,
		"waitMs", choice.Wait.Total.Milliseconds(), "late", choice.Late, "priority", p.priority, "release", choice.Upstream.Release)
	watcher := c.watchAttempt(ctx, cancel, choice, placeReq, tracker)
	defer func() { p.next, p.spare = watcher.Close() }()
	resp, err := c.Pool.DoHeld(req) //nolint:bodyclose // handleResponse closes it
	if err != nil {
		return c.handleSendError(err, context.Cause(ctx), choice, tracker)
	}
	tracker.MarkActive()
	c.attempts++
	step, reason := c.handleResponse(ctx, resp, choice, placeReq, tracker)
	c.answered = step == stepDone
	return step, reason
}

// logBegin records the first token of an attempt, the moment that counts for the limit on replaced weights.
func (c *call) logBegin(choice *place.Choice, r *place.Request) {
	if r.Model == "" {
		return
	}
	named, _ := c.Snapshots.Weights(r.Model)
	at, replaced := named.ReplacedAt(choice.WeightVersion)
	if !replaced {
		return
	}
	replacedFor := time.Since(at)
	recordReplacedWeights(replacedFor)
	klog.InfoS("Request began on replaced weights", "request", c.req.ID, "upstream", choice.Upstream.ID, "attempt", c.attempts,
		"weights", choice.WeightVersion, "replacedMs", replacedFor.Milliseconds(), "replacedWhenSentMs", choice.ReplacedFor.Milliseconds(),
		"named", named.Version, "namedAgeMs", named.Age().Milliseconds(), "namedObserved", named.NamedAtObserved,
		"waitMs", time.Since(c.attemptAt).Milliseconds(), "estimatedMs", choice.Wait.Total.Milliseconds(), "longestMs", choice.LongestWait.Milliseconds(),
		"atUpstream", choice.RequestsThere, "passedBy", c.hop.sender())
}

// errUnresponsive is the cause with which an attempt is cancelled whose upstream has become unreachable or hangs.
var errUnresponsive = errors.New("upstream is unreachable or hangs") //nolint:revive // compared by identity only

// errWeightsReplaced is the cause with which an attempt is called back that has no first token although its weights near their limit.
var errWeightsReplaced = errors.New("weights were replaced before the first token") //nolint:revive // compared by identity only

// stepAfterCallBack returns the next step after an attempt that was called back. The engine may have begun to run it in that moment.
func (c *call) stepAfterCallBack(choice *place.Choice) (nextStep, Reason) {
	klog.InfoS("Request called back from replaced weights", "request", c.req.ID, "upstream", choice.Upstream.ID, "weights", choice.WeightVersion,
		"replacedWhenSentMs", choice.ReplacedFor.Milliseconds(), "waitMs", time.Since(c.attemptAt).Milliseconds(),
		"estimatedMs", choice.Wait.Total.Milliseconds(), "longestMs", choice.LongestWait.Milliseconds(), "repeatable", c.route.Repeatable())
	countCallBack(c)
	return c.stepAfterRun(ReasonWeightsReplaced)
}

func (c *call) upstreamRequest(ctx context.Context, choice *place.Choice, p *progress) (*http.Request, error) {
	placeReq := p.placeReq
	u := c.targetAt(choice.Upstream.Address)
	a := Attempt{
		Upstream:      choice.Upstream,
		UntilDeadline: c.untilDeadline(),
		Organisation:  c.organisationID(),
		LastEventID:   c.reply.position.lastID,
	}
	if placeReq.Model != "" {
		a.WeightVersion = choice.WeightVersion
		a.Priority = p.priority
		a.CacheSalt = place.CacheSalt(choice.WeightVersion, placeReq.CacheScope)
		a.FetchFrom, a.SaveTo = c.cacheAddresses(choice)
	}
	header := c.Dialect.UpstreamHeaders(c.r.Header, a)
	header.Del(hopHeader)
	req := &http.Request{
		Method:        c.r.Method,
		URL:           u,
		Host:          c.r.Host,
		Header:        header,
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

// targetAt returns the request's target at an address.
func (c *call) targetAt(address string) *url.URL {
	u := *c.r.URL
	u.Scheme, u.Host, u.User = "http", address, nil
	if path, _, _ := strings.Cut(c.r.RequestURI, "?"); isUnchangedPath(path) {
		// Otherwise net/url encodes what RFC 3986 wants encoded, so that the upstream sees another path.
		u.Opaque = path
	}
	return &u
}

// isUnchangedPath reports whether a path can be sent as it came: it is one of the server's own, and not to be taken for a host.
func isUnchangedPath(path string) bool {
	return strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//")
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
	case errors.Is(cause, errStopping):
		outcome, reason = place.OutcomeCancelled, ReasonStopping
	case errors.Is(cause, errWeightsReplaced):
		outcome = place.OutcomeCancelled
		step, reason = c.stepAfterCallBack(choice)
	case errors.Is(cause, errUnresponsive):
		outcome, step, reason = place.OutcomeTimeout, stepRetryOther, ReasonTimeout
	case c.route.Repeatable():
		step = stepRetryOther
	}
	if outcome == place.OutcomeBroken && httpc.IsNoResponse(err) {
		// The upstream is alive, so that it is no evidence that the request ends upstreams.
		outcome = place.OutcomeFailed
		countNoAnswer()
	}
	tracker.End(outcome)
	if !notSent {
		c.attempts++
		c.markSent()
	}
	klog.InfoS("Attempt failed", "request", c.req.ID, "upstream", choice.Upstream.ID, "reason", reason,
		"sent", !notSent, "reused", send != nil && send.Reused, "cause", causeText(cause), "error", err.Error(), "parts", c.sharedParts(), "fingerprint", c.fingerprint(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	return step, reason
}

// causeText is the cause with which an attempt was cancelled, for logs; empty if it was not.
func causeText(cause error) string {
	if cause == nil {
		return ""
	}
	return cause.Error()
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
