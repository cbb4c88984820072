package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/admit"
	"github.com/gooseberryway/gooseberryway/internal/coordination/place"
	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/coordination/shed"
	"github.com/gooseberryway/gooseberryway/internal/state/guard"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

const (
	// startingRetry is when callers come back that reached a daemon without a configuration.
	startingRetry = 300 * time.Millisecond
	// defaultBodyBytes bounds a body where the configuration says nothing.
	defaultBodyBytes = 4 << 20
	// writeGrace is how long after its time a request's last bytes may be written.
	writeGrace = time.Second
	// defaultPatience bounds a request that has neither a deadline nor a route's timeout.
	defaultPatience = 60 * time.Second
)

// Handler answers requests. Its fields are set before the first request.
type Handler struct {
	Snapshots *view.Snapshots
	Dialect   Dialect
	Placer    *place.Placer
	Limiter   *admit.Limiter
	// Budgets are the retry budgets of services, Desks decide on late work.
	Budgets  *view.PerService[relay.RetryBudget]
	Shedders *view.PerService[shed.Controller]
	Pool     *httpc.Pool
	// Leaving reports whether the daemon is about to stop; answers then end their connections.
	Leaving func() bool
}

// call is one request on its way.
type call struct {
	*Handler
	w       http.ResponseWriter
	r       *http.Request
	req     Request
	arrived time.Time
	// until is the end of the caller's patience or of the route's timeout.
	until  time.Time
	config *view.Config
	route  *view.Route
	org    *view.Organisation
	cost   float64
	body   []byte

	// attempts counts upstreams that the request reached, rejections those of them that said that they did not run it.
	attempts, rejections int
	// headed is true once the head of an answer was sent.
	headed bool
	// sentAt is when the request was first sent to an upstream.
	sentAt, firstAt time.Time
	// delivered is the id of the last event that the caller has.
	delivered string
	status    int
	kept      *keptAnswer
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Handler: h, w: w, r: r, arrived: time.Now(), req: h.Dialect.ParseRequest(r)}
	if h.Leaving() {
		w.Header().Set("Connection", "close")
	}
	err := c.serve()
	var refusal *RefusedError
	switch {
	case err == nil:
	case errors.As(err, &refusal) && !c.headed:
		c.status = refusal.Status
		refusal.write(w, h.Dialect)
	default:
		c.log(err)
		panic(http.ErrAbortHandler)
	}
	c.log(err)
}

// serve runs the request. An error that isn't a *RefusedError means that the connection must be cut.
func (c *call) serve() error {
	if err := c.accept(); err != nil {
		return err
	}
	// A caller that doesn't read its answer must not hold the request beyond its time. The refusal of a late request
	// still has to be written.
	rc := http.NewResponseController(c.w)
	_ = rc.SetWriteDeadline(c.until.Add(writeGrace))
	defer func() { _ = rc.SetWriteDeadline(time.Time{}) }()
	if err := c.read(); err != nil {
		return err
	}
	if err := c.admit(); err != nil {
		return err
	}
	return c.run()
}

// accept finds the route and the organisation.
func (c *call) accept() error {
	c.config = c.Snapshots.Config()
	if c.config == nil {
		return refused(ReasonStarting, startingRetry)
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
	if c.org == nil && c.config.RequiresKey() && !c.route.Open {
		return &RefusedError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	patience := defaultPatience
	if c.req.UntilDeadline > 0 {
		patience = c.req.UntilDeadline
	}
	if c.route.Timeout > 0 {
		patience = min(patience, c.route.Timeout)
	}
	c.until = c.arrived.Add(patience)
	return nil
}

// read takes the whole body, so that no upstream waits for a slow caller and a request can be sent again.
func (c *call) read() error {
	limit := c.config.Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if c.r.ContentLength > limit {
		return &RefusedError{Status: http.StatusRequestEntityTooLarge, Reason: ReasonBodyTooLarge}
	}
	if c.r.Body == nil || c.r.Body == http.NoBody {
		return nil
	}
	rc := http.NewResponseController(c.w)
	_ = rc.SetReadDeadline(c.until)
	body, err := io.ReadAll(io.LimitReader(c.r.Body, limit+1))
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

// admit takes the request's cost from its organisation's limit.
func (c *call) admit() error {
	if c.org == nil {
		return nil
	}
	c.cost = admit.Cost(c.org, c.req.Input, c.req.MaxOutput, c.req.HasTokens)
	d := c.Limiter.Admit(c.org, c.cost)
	if d.Admitted {
		return nil
	}
	klog.InfoS("Request over its organisation's limit", "request", c.req.ID, "organisation", c.org.ID, "cost", c.cost,
		"balance", int64(d.Balance), "rate", c.org.Rate, "burst", c.org.Burst, "silentPeers", d.SilentPeers, "retryAfterMs", d.RetryAfter.Milliseconds())
	return &RefusedError{Status: http.StatusTooManyRequests, Reason: ReasonOverLimit, RetryAfter: spread(d.RetryAfter)}
}

// organisation returns the id of the request's organisation; empty without one.
func (c *call) organisation() ident.OrganisationID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// authorised reports whether the request may still be sent: its key may have been withdrawn meanwhile.
func (c *call) authorised() bool {
	now := c.Snapshots.Config()
	if now == c.config || c.org == nil {
		return true
	}
	holder := now.OrganisationByKey(c.req.Key)
	return c.route.Open || holder != nil && holder.ID == c.org.ID
}

// left returns the time until the request has to have its final answer.
func (c *call) left() time.Duration { return time.Until(c.until) }

// notRun gives back what was taken for a request and refuses it; the request must not have been run.
func (c *call) notRun(reason Reason, after time.Duration) error {
	guard.Check(c.delivered == "" && !c.headed, guard.NotRunTrue, "request %s was answered in part", c.req.ID)
	if c.org != nil {
		c.Limiter.Refund(c.org, c.cost)
	}
	return refused(reason, after)
}

// gone reports whether the caller has left.
func (c *call) gone() bool { return c.r.Context().Err() != nil }

// log writes the line that ends a request.
func (c *call) log(err error) {
	var route ident.RouteID
	if c.route != nil {
		route = c.route.Name
	}
	outcome := "answered"
	switch {
	case c.gone():
		outcome = "callerLeft"
	case err != nil:
		outcome = err.Error()
	}
	var version int64
	if c.config != nil {
		version = c.config.Version
	}
	var first time.Duration
	if !c.firstAt.IsZero() {
		first = c.firstAt.Sub(c.arrived)
	}
	klog.InfoS("Request ended", "request", c.req.ID, "route", route, "organisation", c.organisation(), "status", c.status,
		"outcome", outcome, "attempts", c.attempts, "config", version, "firstMs", first.Milliseconds(),
		"totalMs", time.Since(c.arrived).Milliseconds(), "patienceMs", c.until.Sub(c.arrived).Milliseconds())
	observe(c, err)
}

// errCallerLeft ends a request whose caller has gone.
var errCallerLeft = context.Canceled
