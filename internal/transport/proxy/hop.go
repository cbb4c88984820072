package proxy

import (
	"encoding/base64"
	"errors"
	"net/http"

	"google.golang.org/protobuf/proto"
	"k8s.io/klog/v2"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

const (
	// hopHeader comes with a request that a daemon passes on to a peer: a wire.PassedRequest in base64.
	hopHeader = "Gooseberryway-Passed-Request"
	// hopOutcomeHeader comes with the response to such a request: a wire.PassedOutcome in base64.
	hopOutcomeHeader = "Gooseberryway-Passed-Outcome"
)

// hop describes a request that a peer passed on to this daemon, which must not pass it on again.
type hop struct {
	from ident.DaemonID
	// service is the one that the peer picked.
	service view.ServiceID
	// arrivals is how many upstreams the request has reached before, runsLeft how many more may run it.
	arrivals, runsLeft int
	// budgeted says that the request is counted in the retry budget already, charged that it is charged to its organisation.
	budgeted, charged bool
	// connection is the caller's Connection header.
	connection string
}

// sender returns the daemon that passed the request on; empty if the caller sent it here.
func (h *hop) sender() ident.DaemonID {
	if h == nil {
		return ""
	}
	return h.from
}

func (h *hop) encode() (string, error) {
	return encodeMessage(&wire.PassedRequest{
		Daemon: string(h.from), Service: string(h.service), Arrivals: uint32(max(0, h.arrivals)), RunsLeft: uint32(max(0, h.runsLeft)),
		Budgeted: h.budgeted, Charged: h.charged, Connection: h.connection,
	})
}

func decodeHop(value string) (*hop, error) {
	var m wire.PassedRequest
	if err := decodeMessage(value, &m); err != nil {
		return nil, err
	}
	return &hop{
		from: ident.DaemonID(m.GetDaemon()), service: view.ServiceID(m.GetService()), arrivals: int(m.GetArrivals()),
		runsLeft: int(m.GetRunsLeft()), budgeted: m.GetBudgeted(), charged: m.GetCharged(), connection: m.GetConnection(),
	}, nil
}

// hopOutcome is what a peer says of a request that was passed on to it.
type hopOutcome struct {
	// reason is that of the peer's own refusal; empty for the response of an upstream.
	reason Reason
	// arrivals is how many upstreams the request reached.
	arrivals int
	// budgeted says that the peer has counted the request in the retry budget.
	budgeted bool
}

func decodeHopOutcome(value string) (hopOutcome, error) {
	var m wire.PassedOutcome
	if err := decodeMessage(value, &m); err != nil {
		return hopOutcome{}, err
	}
	return hopOutcome{reason: Reason(m.GetReason()), arrivals: int(m.GetArrivals()), budgeted: m.GetBudgeted()}, nil
}

// setOutcome adds the outcome of a passed request to the header of its response.
func (o hopOutcome) setOutcome(h http.Header) {
	value, err := encodeMessage(&wire.PassedOutcome{Reason: string(o.reason), Arrivals: uint32(max(0, o.arrivals)), Budgeted: o.budgeted})
	if err == nil {
		h.Set(hopOutcomeHeader, value)
	}
}

// hopOutcome returns the outcome of a request that a peer passed on.
func (c *call) hopOutcome(reason Reason) hopOutcome {
	return hopOutcome{reason: reason, arrivals: c.attempts, budgeted: c.budgeted}
}

func encodeMessage(m proto.Message) (string, error) {
	raw, err := proto.Marshal(m)
	return base64.RawStdEncoding.EncodeToString(raw), err
}

// errNoMessage says that a header is missing.
var errNoMessage = errors.New("the header is missing") //nolint:revive // for logs only

func decodeMessage(value string, m proto.Message) error {
	if value == "" {
		return errNoMessage
	}
	raw, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

// IsPassed reports whether a request that arrived from a peer is a caller's that the peer passes on.
func IsPassed(r *http.Request) bool { return r.Header.Get(hopHeader) != "" }

// ServePassed runs a request that a peer passes on, as if the caller had sent it here.
func (h *Handler) ServePassed(w http.ResponseWriter, r *http.Request) {
	from, err := decodeHop(r.Header.Get(hopHeader))
	if err != nil {
		klog.InfoS("Request of a peer can't be decoded", "peer", r.RemoteAddr, "reason", err.Error())
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Header.Del(hopHeader)
	if from.connection != "" {
		r.Header.Set("Connection", from.connection)
	}
	h.serve(w, r, from)
}

// maxRuns returns how many upstreams may run the request.
func (c *call) maxRuns() int {
	if c.hop != nil {
		return min(c.hop.runsLeft, c.route.MaxAttempts)
	}
	return c.route.MaxAttempts
}

// isRepeat reports whether an upstream may have got the request before, from this daemon or a peer.
func (c *call) isRepeat() bool { return c.arrivals() > 0 }

// arrivals returns how many upstreams the request has reached, from this daemon or from peers.
func (c *call) arrivals() int {
	n := c.attempts + c.peerArrivals
	if c.hop != nil {
		n += c.hop.arrivals
	}
	return n
}

// RefusePassed refuses a request that a peer passes on, before it was read.
func (h *Handler) RefusePassed(w http.ResponseWriter, reason Reason) {
	p := reply{w: w, toPeer: func(reason Reason) hopOutcome { return hopOutcome{reason: reason} }}
	p.refuse(unavailableError(reason, rejectedRetryAfter), h.Dialect)
}
