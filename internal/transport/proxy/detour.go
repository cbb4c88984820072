package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/detour"
	"github.com/gooseberryway/gooseberryway/internal/coordination/fleet"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// maxDetours is the number of peers that a request is passed on to, one after the other.
	maxDetours = 2
	// minRunsOfPeer are as many runs as a peer needs to recover from the failure of an upstream.
	minRunsOfPeer = 2
	// detourDeadlineGrace is how long after the deadline a response of a peer is waited for, which itself waits for deadlineGrace.
	detourDeadlineGrace = 2 * deadlineGrace
)

// isCutOff reports whether this daemon can connect to no upstream of the request's service.
func (c *call) isCutOff() bool { return c.Peers != nil && c.Placer.IsUnreachable(c.service) }

// detourRequest describes the request to the choice of a peer, other than those that were tried.
func (c *call) detourRequest(tried []ident.DaemonID) *detour.Request {
	return &detour.Request{Service: c.service, Homes: c.homes(), Tried: tried}
}

// passOn has a peer run the request. It returns false if no peer was found that may have run it or has answered it, so that the request
// may still be refused here.
func (c *call) passOn() (ended bool, err error) {
	if c.Peers == nil || c.hop != nil || c.detoured {
		return false, nil
	}
	c.detoured = true
	var tried []ident.DaemonID
	for len(tried) < maxDetours {
		if err := c.checkBeforeAttempt(); err != nil {
			return true, err
		}
		if c.mayHaveRun() && !c.mayRunAgain() {
			return true, c.endAfterLastAttempt(ReasonUnreachable)
		}
		peer, ok := c.Peers.Choose(c.detourRequest(tried))
		if !ok {
			break
		}
		tried = append(tried, peer.ID)
		step, reason := c.passTo(peer, tried)
		c.Peers.Release(peer.ID)
		if step == stepDone {
			return true, nil
		}
		if step == stepFail {
			return true, c.endAfterLastAttempt(reason)
		}
	}
	if c.mayHaveRun() {
		return true, c.endAfterLastAttempt(ReasonUnreachable)
	}
	return false, nil
}

// mayRunAgain reports whether another upstream may run the request after one that may have run it.
func (c *call) mayRunAgain() bool {
	step, _ := c.stepAfterRun("")
	return step == stepRetryOther && c.possibleRuns() < c.maxRuns()
}

// passTo passes the request on to a peer and forwards the response. tried are the peers so far, with this one.
func (c *call) passTo(peer fleet.Peer, tried []ident.DaemonID) (nextStep, Reason) {
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	end := time.AfterFunc(c.untilDeadline()+detourDeadlineGrace, func() { cancel(context.DeadlineExceeded) })
	defer end.Stop()
	runs := c.maxRuns() - c.possibleRuns()
	if runs > minRunsOfPeer && len(tried) < maxDetours {
		// The peer may fall silent and leaves a run to the next one.
		runs--
	}
	req, err := c.peerRequest(ctx, peer, runs)
	if err != nil {
		return stepFail, ReasonPeerBroke
	}
	c.attemptAt = time.Now()
	klog.InfoS("Request passed on", "request", c.req.ID, "peer", peer.ID, "service", c.service, "arrivals", c.arrivals(), "runsLeft", runs,
		"lastEvent", c.reply.position.lastID, "heardMs", time.Since(peer.LastHeartbeatAt).Milliseconds(), "leftMs", c.untilDeadline().Milliseconds())
	watching := c.watchPeer(ctx, cancel, tried, runs)
	resp, err := c.PeerPool.Do(req)
	if err != nil {
		return c.handlePassError(ctx, err, peer, runs)
	}
	defer resp.Body.Close()
	outcome, unreadable := decodeHopOutcome(resp.Header.Get(hopOutcomeHeader))
	resp.Header.Del(hopOutcomeHeader)
	klog.InfoS("Peer answered", "request", c.req.ID, "peer", peer.ID, "status", resp.StatusCode, "understood", unreadable == nil,
		"refusal", outcome.reason, "arrivals", outcome.arrivals, "sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	if unreadable != nil {
		countDetour("notUnderstood")
		return c.endPass(ctx, runs)
	}
	if !watching {
		c.watchPeer(ctx, cancel, tried, outcome.arrivals)
	}
	return c.handlePeerResponse(ctx, resp, peer, &outcome)
}

// peerRequest returns the request as the caller sent it, with the time and the events that are left.
func (c *call) peerRequest(ctx context.Context, peer fleet.Peer, runs int) (*http.Request, error) {
	h := hop{
		from: c.Peers.Self, service: c.service, arrivals: c.arrivals(), runsLeft: runs, budgeted: c.budgeted, charged: c.charged,
		connection: strings.Join(c.r.Header["Connection"], ","),
	}
	encoded, err := h.encode()
	if err != nil {
		return nil, err
	}
	req := &http.Request{
		Method: c.r.Method, URL: c.targetAt(peer.PeerAddress), Host: c.r.Host,
		Header:        c.Dialect.PeerHeaders(c.r.Header, c.untilDeadline(), c.reply.position.lastID),
		ContentLength: int64(len(c.body)),
		// As for upstreams, the transport must not send the request a second time on its own.
		Body: io.NopCloser(bytes.NewReader(c.body)),
	}
	req.Header.Set(hopHeader, encoded)
	return req.WithContext(ctx), nil
}

// watchPeer cancels an attempt whose peer, the last one that was tried, has fallen silent once another peer can follow one that had so many
// upstreams run the request. It reports whether it does.
func (c *call) watchPeer(ctx context.Context, cancel context.CancelCauseFunc, tried []ident.DaemonID, runs int) bool {
	if !c.route.Repeatable() || len(tried) >= maxDetours || c.possibleRuns()+runs >= c.maxRuns() {
		return false
	}
	peer := tried[len(tried)-1]
	go func() {
		t := time.NewTicker(responsivenessTick)
		defer t.Stop()
		w := obstacleLog{}
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
			}
			if c.Peers.IsAlive(peer) {
				continue
			}
			o := c.peerObstacle(tried)
			if w.isNew(o) {
				klog.InfoS("Peer of an attempt silent", "request", c.req.ID, "peer", peer, "givenUp", o == obstacleNone, "obstacle", o,
					"runs", runs, "leftMs", c.untilDeadline().Milliseconds())
				countSilentPeer(o)
			}
			if o == obstacleNone {
				cancel(errUnresponsive)
				return
			}
		}
	}()
	return true
}

// peerObstacle returns what keeps the request from another peer than those that were tried.
func (c *call) peerObstacle(tried []ident.DaemonID) obstacle {
	if o := c.obstacle(); o != obstacleNone {
		return o
	}
	if !c.Peers.HasCandidate(c.detourRequest(tried)) {
		return obstacleNoPeer
	}
	return obstacleNone
}

// handlePassError handles a request that got no response from a peer.
func (c *call) handlePassError(ctx context.Context, err error, peer fleet.Peer, runs int) (nextStep, Reason) {
	var send *httpc.SendError
	notSent := errors.As(err, &send) && send.NotSent
	klog.InfoS("Peer did not answer", "request", c.req.ID, "peer", peer.ID, "sent", !notSent, "error", err.Error(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	countDetour("unanswered")
	if notSent {
		return stepRetryOther, ReasonUnreachable
	}
	return c.endPass(ctx, runs)
}

// endPass returns the next step after a peer that may have had so many upstreams run the request and did not answer it in full.
func (c *call) endPass(ctx context.Context, runs int) (nextStep, Reason) {
	c.attempts += runs
	c.markSent()
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return stepFail, ReasonTimeout
	case c.callerLeft(), c.stopped():
		return stepFail, c.cancelReason()
	default:
		return c.stepAfterRun(ReasonPeerBroke)
	}
}

// handlePeerResponse forwards a peer's response, which is the upstream's or a refusal of the peer's own.
func (c *call) handlePeerResponse(ctx context.Context, resp *http.Response, peer fleet.Peer, outcome *hopOutcome) (nextStep, Reason) {
	c.budgeted = c.budgeted || outcome.budgeted
	switch {
	case c.mayPassAfter(outcome, resp.StatusCode, peer):
		countDetour("refused")
		c.peerArrivals += outcome.arrivals
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, streamBufferBytes))
		return stepRetryOther, outcome.reason
	case isSuccess(resp.StatusCode) && !c.Dialect.ParseResponse(resp.StatusCode, resp.Header).Signed:
		klog.InfoS("Success without a signature", "request", c.req.ID, "peer", peer.ID, "status", resp.StatusCode, "arrivals", outcome.arrivals)
		countUnsignedSuccess()
		return c.endPass(ctx, max(1, outcome.arrivals))
	case c.reply.begun() && !c.isStream(resp):
		countRefusedContinuation()
		return c.endPass(ctx, max(1, outcome.arrivals))
	}
	err := c.forwardFromPeer(resp)
	if err == nil {
		countDetour("answered")
		c.answered = true
		return stepDone, ""
	}
	klog.InfoS("Answer of a peer broke", "request", c.req.ID, "peer", peer.ID, "lastEvent", c.reply.position.lastID, "error", err.Error(),
		"sinceSentMs", time.Since(c.attemptAt).Milliseconds())
	countDetour("broken")
	return c.endPass(ctx, max(1, outcome.arrivals))
}

func (c *call) forwardFromPeer(resp *http.Response) error {
	if c.isStream(resp) {
		return c.copyStream(resp, func() {}, nil)
	}
	body, err := c.readBuffered(resp, func() {})
	if err == nil {
		c.sendBuffered(resp, body)
	}
	return err
}

// mayPassAfter reports whether another peer may take a request that a peer has refused without running it: for its own state, or because
// it doesn't know yet what this daemon's configuration allows. Otherwise the refusal is forwarded, unless the request may have run before.
func (c *call) mayPassAfter(o *hopOutcome, status int, peer fleet.Peer) bool {
	switch {
	case o.reason == "":
		return false
	case promisesNotRun(status):
		return c.mayHaveRun() || slices.Contains(reasonsOfPeer, o.reason)
	default:
		return o.arrivals == 0 && (o.reason == ReasonNoRoute || o.reason == ReasonUnknownKey) && peer.ConfigVersion < c.config.Version
	}
}

// reasonsOfPeer are those for which a peer refuses what another one may serve.
var reasonsOfPeer = []Reason{ReasonUnreachable, ReasonNoUpstream, ReasonStarting, ReasonStopping, ReasonBodyMemory, ReasonMemory, ReasonPeerBusy}
