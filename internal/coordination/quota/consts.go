package quota

import "time"

const (
	// grantTTL is how long a daemon may spend a grant after it has sent the ask for it.
	grantTTL = time.Second
	// issuedGrantTTL is how long a home counts a grant as unspent. It exceeds grantTTL by 10 %, so that a grant never
	// outlives its record at the home, even if the monotonic clocks of the two VMs drift apart.
	issuedGrantTTL = grantTTL + grantTTL/10
	// prefetchHorizon is how far ahead of recent demand tokens are prefetched from the homes.
	prefetchHorizon = 200 * time.Millisecond
	// demandTimeConstant is the time constant of the exponentially decaying estimate of an organisation's demand at
	// this daemon.
	demandTimeConstant = 500 * time.Millisecond
	// grantReturnAge is the age, counted from the sending of the ask or of the last renewal, at which unspent tokens
	// of a grant are returned to their home or renewed.
	grantReturnAge = 500 * time.Millisecond
	// settlementDelay is how long settlements wait for an ask that they can share a request with.
	settlementDelay = 100 * time.Millisecond
	// askTimeout limits one request to a home.
	askTimeout = 250 * time.Millisecond
	// askBackoff is the pause before a request that a home did not answer is repeated.
	askBackoff = 100 * time.Millisecond
	// hedgeDelay is how long an ask may stay unanswered before its tokens are also asked of other homes.
	hedgeDelay = 10 * time.Millisecond
	// pendingAskGrace is how long after the announced time a home still keeps tokens for a daemon that has not asked
	// again.
	pendingAskGrace = 20 * time.Millisecond
	// failedHomeBackoff is how long a daemon asks no tokens of a home that did not answer, or that answered that it
	// is not a home of the organisation.
	failedHomeBackoff = time.Second
	// minRetryAfter is the shortest Retry-After that a home or a refusal announces.
	minRetryAfter = time.Millisecond
	// unreachableRetryAfter is the Retry-After when no home answers.
	unreachableRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After that is announced.
	maxRetryAfter = time.Hour

	// unreportedBurstDivisor bounds the settlements that may wait for settlementDelay: more than burst /
	// unreportedBurstDivisor tokens are reported to their home at once.
	unreportedBurstDivisor = 16
	// smallAskDivisor sets how much is asked of one home: up to 1 / smallAskDivisor of its share of the burst; more
	// tokens are split over several homes.
	smallAskDivisor = 8
	// minHomeRetryPause is the shortest pause before a home that could not grant a whole ask is asked again.
	minHomeRetryPause = 50 * time.Millisecond
	// transferBackoff is the pause before a home that could not transfer all tokens of an ask is asked for a transfer
	// again.
	transferBackoff = time.Second
	// creditRetention is how long a home remembers a grant after issuing it, to credit unused tokens of long
	// requests.
	creditRetention = 10 * time.Minute
	// historySteps sets the resolution of fillHistory: fill levels are told apart in steps of capacity /
	// historySteps.
	historySteps = 256

	// microTokensPerToken is the resolution of buckets: they count millionths of a token.
	microTokensPerToken = 1_000_000
)
