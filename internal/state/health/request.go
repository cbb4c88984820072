package health

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Request is one request that this daemon has sent to an upstream, from Begin to End. It is not safe for concurrent use.
type Request struct {
	upstream     *Upstream
	bucketNumber int64
	tokens       ident.Tokens
	ended        bool
}

// Begin counts a request. Tokens is the number of tokens that the engine has to compute before the first output token.
func (u *Upstream) Begin(tokens ident.Tokens, now time.Time) Request {
	u.inFlight.Add(1)
	return Request{upstream: u, bucketNumber: u.sentWork.add(u.since(now), tokens), tokens: tokens}
}

// CountPeerRequest adds the tokens of a request that a peer has sent to the estimated load until a load report includes it.
func (u *Upstream) CountPeerRequest(tokens ident.Tokens, now time.Time) {
	u.sentWork.bucket(u.since(now)).pending.Add(int64(tokens))
}

// FirstToken records that the prefill has ended. Repeated calls have no effect.
func (r *Request) FirstToken() {
	if r.tokens > 0 {
		r.upstream.sentWork.prefilled(r.bucketNumber, r.tokens)
		r.tokens = 0
	}
}

// End records that the request has ended. Repeated calls have no effect.
func (r *Request) End() {
	if r.ended {
		return
	}
	r.ended = true
	r.FirstToken()
	r.upstream.sentWork.ended(r.bucketNumber)
	r.upstream.inFlight.Add(-1)
}
