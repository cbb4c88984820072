package health

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Request is one request that this daemon has sent to an upstream, from Begin to End. It is not safe for concurrent use.
type Request struct {
	upstream *Upstream
	tag      int64
	tokens   ident.Tokens
	ended    bool
}

// Begin counts a request with the tokens that the engine has to compute before the first token of the answer.
func (u *Upstream) Begin(tokens ident.Tokens, now time.Time) Request {
	u.inFlight.Add(1)
	return Request{upstream: u, tag: u.sent.add(u.since(now), tokens), tokens: tokens}
}

// CountPeerRequest counts a request that another daemon has sent, until a load report shows it.
func (u *Upstream) CountPeerRequest(tokens ident.Tokens, now time.Time) {
	u.sent.slice(u.since(now)).pending.Add(int64(tokens))
}

// FirstToken ends the prefill. Repeated calls change nothing.
func (w *Request) FirstToken() {
	if w.tokens > 0 {
		w.upstream.sent.computed(w.tag, w.tokens)
		w.tokens = 0
	}
}

// End ends the request. Repeated calls change nothing.
func (w *Request) End() {
	if w.ended {
		return
	}
	w.ended = true
	w.FirstToken()
	w.upstream.sent.ended(w.tag)
	w.upstream.inFlight.Add(-1)
}
