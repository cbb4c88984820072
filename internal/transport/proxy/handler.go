package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/admit"
	"github.com/gooseberryway/gooseberryway/internal/coordination/canary"
	"github.com/gooseberryway/gooseberryway/internal/coordination/detour"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/poison"
	"github.com/gooseberryway/gooseberryway/internal/coordination/reject"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/coordination/uprate"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/intake"
)

const (
	// startingRetryAfter is the Retry-After of a daemon that has no configuration yet.
	startingRetryAfter = 300 * time.Millisecond
	// defaultMaxBodyBytes is the largest request body if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
	// writeGrace is how long after its deadline a request's last bytes may still be written.
	writeGrace = time.Second
	// requestBytes is the memory of a request in progress beside its body: goroutines and buffers of its connections to an upstream and to the caller.
	requestBytes = 64 << 10
	// memoryRetryAfter is the Retry-After of requests for which there is no memory: clients that have made no progress for as long are closed for others.
	memoryRetryAfter = time.Second
	// defaultTimeout applies to requests for which neither the caller nor the route sets a time limit.
	defaultTimeout = 60 * time.Second
)

// Handler routes requests to upstreams and forwards their responses. Its fields are set before the first request.
type Handler struct {
	Snapshots *view.Snapshots
	Dialect   Dialect
	Placer    *place.Placer
	// Detector finds requests and prompt parts that crash upstreams.
	Detector *poison.Detector
	Limiter  *admit.Limiter
	// Rollouts chooses between the releases of upstreams and judges them.
	Rollouts *canary.Controller
	// UpstreamLimits holds the rates that upstreams limit themselves to.
	UpstreamLimits *uprate.Table
	// RejectionLimits holds how many rejections upstreams bear.
	RejectionLimits *reject.Table
	// RetryBudgets holds each service's retry budget, Shedders each service's load shedding.
	RetryBudgets *view.PerService[relay.RetryBudget]
	Shedders     *view.PerService[shed.Controller]
	// Ranks holds the priorities of the configuration's requests at the upstreams.
	Ranks shed.RanksCache
	Pool  *httpc.Pool
	// CanConnect reports whether a connection to an upstream succeeds within a short time.
	CanConnect func(ctx context.Context, address string) bool
	// Peers chooses the peers that run requests whose service this daemon can't reach, over connections of PeerPool; nil for none.
	Peers *detour.Chooser
	// Regions maps failure domains to regions; homes bind only where it is set.
	Regions view.Regions

	PeerPool *httpc.Pool
	// Stop decides which requests can end before a planned stop of the daemon.
	Stop *shed.Stop
	// IsDraining reports whether the daemon is shutting down; responses then close their connections.
	IsDraining func() bool
}

// call is the state of one request.
type call struct {
	*Handler
	w http.ResponseWriter
	r *http.Request
	// ctx ends when the caller leaves, or with errStopping when the daemon's time for open requests is over.
	ctx     context.Context //nolint:containedctx // of the one request
	req     Request
	arrived time.Time
	// deadline is when the caller's deadline or the route's timeout ends, whichever comes first.
	deadline time.Time
	config   *view.Config
	route    *view.Route
	// hop is set if a peer passed the request on.
	hop *hop
	// budgeted says that the request is counted in the retry budget of its service.
	budgeted bool
	// charged says that the request is charged to its organisation's rate limit, here or at the peer that passed it on.
	charged bool
	// peerArrivals is how many upstreams the request reached from peers that refused it.
	peerArrivals int
	// detoured says that peers were asked to run the request.
	detoured bool
	// service is the one of the route's that was picked.
	service view.ServiceID
	org     *view.Organisation
	cost    float64
	body    []byte
	// judged is what may be found to crash upstreams.
	judged poison.Request
	// wholeHash is the result of fingerprint once hasFingerprint is set.
	wholeHash      poison.Hash
	hasFingerprint bool
	// stopEstimate is the last estimate whether the request ends before a planned stop, open its record there; nil until it is admitted.
	stopEstimate shed.StopEstimate
	open         *shed.OpenRequest
	// answered says that the caller has got the complete response of an upstream.
	answered bool
	// evidence is what the last attempt says about the request; nil before the first.
	evidence *poison.Attempt

	// attempts counts the upstreams that the request reached, rejections those of them that said that they did not
	// run it.
	attempts, rejections int
	// reply is the response to the caller.
	reply reply
	// sentAt is when an upstream was first known to have possibly run the request; zero until then.
	sentAt time.Time
	// attemptAt is when the last attempt began.
	attemptAt time.Time
	// fallback is an upstream's error response that is forwarded if no other attempt succeeds.
	fallback *bufferedResponse
}

// ServeHTTP routes one request and forwards the response.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.serve(w, r, nil) }

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, from *hop) {
	c := &call{
		Handler: h, w: w, r: r, reply: reply{w: w}, arrived: time.Now(), req: h.Dialect.ParseRequest(r), hop: from,
	}
	c.reply.position.lastID = c.req.LastEventID
	if from != nil {
		c.budgeted, c.charged, c.reply.toPeer = from.budgeted, from.charged, c.hopOutcome
	}
	if h.IsDraining() {
		w.Header().Set("Connection", "close")
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	defer context.AfterFunc(h.Stop.Expired(), func() { cancel(errStopping) })()
	c.ctx = ctx
	c.judged.Fingerprint = c.fingerprint
	for _, id := range c.sharedParts() {
		if id == "" {
			continue
		}
		c.judged.Parts = append(c.judged.Parts, poison.HashPart(id))
	}
	defer func() { h.Stop.End(c.open, c.endKind()) }()
	err := c.serve()
	var refusal *RefusedError
	if errors.As(err, &refusal) && !c.reply.begun() {
		c.reply.refuse(refusal, h.Dialect)
	}
	c.logEnd(err)
	if !c.reply.complete {
		guard.Check(err != nil, guard.StreamWhole, "request %s ended without an error, but its response isn't complete", c.req.ID)
		panic(http.ErrAbortHandler)
	}
}

// serve handles the request. An error that isn't a *RefusedError means that the connection has to be aborted.
func (c *call) serve() error {
	if !c.r.ProtoAtLeast(1, 1) {
		// Of HTTP/1.0, net/http drops Transfer-Encoding and takes the chunks for the next request.
		c.w.Header().Set("Connection", "close")
		return &RefusedError{Status: http.StatusHTTPVersionNotSupported, Reason: ReasonHTTPVersion}
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if !intake.HoldRequest(c.r, requestBytes) {
		return unavailableError(ReasonMemory, memoryRetryAfter)
	}
	// A caller that doesn't read its response must not keep the request open after the deadline. The grace leaves
	// time to write the refusal of a request that ran out of time.
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(c.deadline.Add(writeGrace))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	if err := c.readBody(); err != nil {
		return err
	}
	c.service = c.pickService()
	if c.isCutOff() {
		if ended, err := c.passOn(); ended {
			return err
		}
	}
	if err := c.admit(); err != nil {
		return err
	}
	return c.run()
}

// resolve looks up the route and the organisation and sets the deadline.
func (c *call) resolve() error {
	c.config = c.Snapshots.Config()
	if c.config == nil {
		return unavailableError(ReasonStarting, startingRetryAfter)
	}
	host := c.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	c.route = c.config.Route(host, c.r.URL.EscapedPath())
	if c.route == nil {
		return &RefusedError{Status: http.StatusNotFound, Reason: ReasonNoRoute}
	}
	c.org = c.config.OrganisationByKey(c.req.Key)
	if c.org == nil && c.config.RequiresKey() && !c.route.AllowsAnonymous {
		return &RefusedError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	timeout := defaultTimeout
	if c.req.UntilDeadline > 0 {
		timeout = c.req.UntilDeadline
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	return nil
}

// readBody reads the whole body before the request is sent, so that a slow caller doesn't occupy an upstream and the
// request can be sent again.
func (c *call) readBody() error {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		return &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.deadline)
	endRead := context.AfterFunc(c.ctx, func() { _ = rc.SetReadDeadline(time.Now()) })
	body, err := intake.ReadBody(c.r, limit, 1)
	endRead()
	if err != nil && c.stopped() {
		return unavailableError(ReasonStopping, rejectedRetryAfter)
	}
	var noMemory *intake.NoMemoryError
	if errors.As(err, &noMemory) {
		return unavailableError(ReasonBodyMemory, memoryRetryAfter)
	}
	if err != nil {
		return &RefusedError{Status: http.StatusBadRequest, Reason: ReasonBodyBroken}
	}
	_ = rc.SetReadDeadline(time.Time{})
	if int64(len(body)) > limit {
		return &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	}
	c.body = body
	return nil
}

// admit charges the request's cost to its organisation's rate limit.
func (c *call) admit() error {
	if c.org == nil || c.charged {
		return nil
	}
	c.cost = admit.Cost(c.org, c.req.Input, c.req.MaxOutput, c.req.HasTokens)
	d := c.Limiter.Admit(c.org, c.cost)
	if d.Admitted {
		c.charged = true
		return nil
	}
	klog.InfoS("Request over its organisation's limit", "request", c.req.ID, "organisation", c.org.ID, "cost", c.cost,
		"balance", int64(d.Balance), "rate", c.org.Rate, "burst", c.org.Burst, "silentPeers", d.SilentPeers, "retryAfterMs", d.RetryAfter.Milliseconds())
	return &RefusedError{Status: http.StatusTooManyRequests, Reason: ReasonOverLimit, RetryAfter: addJitter(d.RetryAfter)}
}

// organisationID returns the ID of the request's organisation, or "" if it has none.
func (c *call) organisationID() ident.OrganisationID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// stillAuthorised reports whether the request may still be sent: its key may have been withdrawn while the request
// waited.
func (c *call) stillAuthorised() bool {
	now := c.Snapshots.Config()
	if now == c.config || c.org == nil {
		return true
	}
	current := now.OrganisationByKey(c.req.Key)
	return c.route.AllowsAnonymous || current != nil && current.ID == c.org.ID
}

// untilDeadline returns the time until the request's deadline.
func (c *call) untilDeadline() time.Duration { return time.Until(c.deadline) }

// refundAndRefuse refunds the request's cost to its organisation's rate limit and refuses the request, which must not
// have run.
func (c *call) refundAndRefuse(reason Reason, after time.Duration) error {
	guard.Check(!c.reply.begun(), guard.NotRunTrue, "request %s is refused as not run, but part of its response was sent", c.req.ID)
	if c.org != nil {
		c.Limiter.Refund(c.org, c.cost)
	}
	return unavailableError(reason, after)
}

// stopped reports whether the daemon's time for open requests is over.
func (c *call) stopped() bool { return errors.Is(context.Cause(c.ctx), errStopping) }

// callerLeft reports whether the caller has disconnected.
func (c *call) callerLeft() bool { return c.r.Context().Err() != nil }

// logEnd logs the end of the request and updates the request metrics. Requests for which there was no memory are counted only, as crowds of clients make
// as many as they like.
func (c *call) logEnd(err error) {
	if isMemoryRefusal(err) {
		recordRequest(c, err)
		return
	}
	var route ident.RouteID
	if c.route != nil {
		route = c.route.Name
	}
	outcome := "answered"
	switch {
	case c.callerLeft():
		outcome = "callerLeft"
	case err != nil:
		outcome = err.Error()
	}
	var version int64
	if c.config != nil {
		version = c.config.Version
	}
	var firstByte time.Duration
	if !c.reply.firstByteAt.IsZero() {
		firstByte = c.reply.firstByteAt.Sub(c.arrived)
	}
	klog.InfoS("Request ended", append([]any{
		"request", c.req.ID, "passedBy", c.hop.sender(), "route", route, "organisation", c.organisationID(),
		"status", c.reply.status, "outcome", outcome, "attempts", c.attempts, "rejections", c.rejections, "mayHaveRun", c.mayHaveRun(),
		"config", version, "firstMs", firstByte.Milliseconds(),
		"totalMs", time.Since(c.arrived).Milliseconds(), "patienceMs", c.deadline.Sub(c.arrived).Milliseconds(),
	}, c.stopDetails()...)...)
	recordRequest(c, err)
}

// endKind returns what the end of the request says about how long others take.
func (c *call) endKind() shed.EndKind {
	switch {
	case c.answered:
		return shed.EndAnswered
	case c.mayHaveRun():
		return shed.EndCut
	default:
		return shed.EndUnsent
	}
}

// stopDetails returns what logs say of a planned stop: how long after its signal the request came, how much time is left, and what was estimated
// by how many samples. It returns nothing while no stop is planned.
func (c *call) stopDetails() []any {
	begun, end, planned := c.Stop.Plan()
	if !planned {
		return nil
	}
	return []any{
		"arrivedAfterSignalMs", c.arrived.Sub(begun).Milliseconds(), "untilStopMs", time.Until(end).Milliseconds(),
		"takesMs", c.stopEstimate.Takes.Milliseconds(), "samples", c.stopEstimate.Samples,
	}
}

// errStopping is the cause with which requests are ended that are still open at the end of a planned stop.
var errStopping = errors.New("the daemon stops") //nolint:revive // compared by identity only

// errCallerLeft ends a request whose caller has disconnected.
var errCallerLeft = context.Canceled
