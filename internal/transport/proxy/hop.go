package proxy

import (
	"encoding/base64"
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
	// hopOutcomeHeader comes with the response to such a request: hopAnswered, or the Reason for which the peer refused it.
	hopOutcomeHeader = "Gooseberryway-Passed-Outcome"
	hopAnswered      = "answered"
)

// hop describes a request that a peer passed on to this daemon, which must not pass it on again.
type hop struct {
	from ident.DaemonID
	// service is the one that the peer picked.
	service view.ServiceID
	// runs is how many upstreams may have run the request before, runsLeft how many more may.
	runs, runsLeft int
	// budgeted says that the request is counted in the retry budget already.
	budgeted bool
}

// sender returns the daemon that passed the request on; empty if the caller sent it here.
func (h *hop) sender() ident.DaemonID {
	if h == nil {
		return ""
	}
	return h.from
}

func (h *hop) encode() (string, error) {
	raw, err := proto.Marshal(&wire.PassedRequest{
		Daemon: string(h.from), Service: string(h.service), Runs: uint32(max(0, h.runs)), RunsLeft: uint32(max(0, h.runsLeft)),
		Budgeted: h.budgeted,
	})
	return base64.RawStdEncoding.EncodeToString(raw), err
}

func decodeHop(value string) (*hop, error) {
	raw, err := base64.RawStdEncoding.DecodeString(value)
	if err != nil {
		return nil, err
	}
	var m wire.PassedRequest
	if err := proto.Unmarshal(raw, &m); err != nil {
		return nil, err
	}
	return &hop{
		from: ident.DaemonID(m.GetDaemon()), service: view.ServiceID(m.GetService()), runs: int(m.GetRuns()),
		runsLeft: int(m.GetRunsLeft()), budgeted: m.GetBudgeted(),
	}, nil
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
func (c *call) isRepeat() bool { return c.attempts > 0 || c.hop != nil && c.hop.runs > 0 }

// RefusePassed refuses a request that a peer passes on, before it was read.
func (h *Handler) RefusePassed(w http.ResponseWriter, reason Reason) {
	p := reply{w: w, toPeer: true}
	p.refuse(unavailableError(reason, rejectedRetryAfter), h.Dialect)
}
