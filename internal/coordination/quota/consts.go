package quota

import "time"

const (
	// grantTTL is how long a daemon may spend a grant, counted from the sending of the ask.
	grantTTL = time.Second
	// holdTTL is how long a home counts a grant as unspent. It exceeds grantTTL by the drift of monotonic clocks.
	holdTTL = grantTTL + grantTTL/10
	// prefetchHorizon is the span of recent demand that a grant ahead of need covers.
	prefetchHorizon = 200 * time.Millisecond
	// demandWindow is the time constant of the estimate of an organisation's demand at this daemon.
	demandWindow = 500 * time.Millisecond
	// returnAfter is the age at which unspent tokens go back to their home.
	returnAfter = 500 * time.Millisecond
	// settleDelay is how long settlements wait for an ask to travel with.
	settleDelay = 100 * time.Millisecond
	// askTimeout limits one exchange with a home.
	askTimeout = 250 * time.Millisecond
	// askBackoff is the pause before a home that did not answer is asked again.
	askBackoff = 100 * time.Millisecond
	// hedgeDelay is how long an ask may take before its tokens are asked of the other homes too.
	hedgeDelay = 10 * time.Millisecond
	// pendingSlack is how long after the announced time a home keeps tokens for an asker that has not come back.
	pendingSlack = 20 * time.Millisecond
	// failedPause is how long a home that did not answer is not asked for new tokens.
	failedPause = time.Second
	// minRetryAfter is the shortest pause that a home or a refusal announces.
	minRetryAfter = time.Millisecond
	// unreachableRetryAfter is announced when no home answers.
	unreachableRetryAfter = time.Second
	// maxRetryAfter is the longest pause that is announced.
	maxRetryAfter = time.Hour

	// promptParts divides the burst into the part that may be spent without telling the home at once.
	promptParts = 16
	// smallAskParts divides a home's part of the burst into asks that are small enough for one home.
	smallAskParts = 8
	// dryPause is how long a home that could not grant all is not asked again at least.
	dryPause = 50 * time.Millisecond
	// movePause is how long a home that had no tokens to transfer is not asked for others.
	movePause = time.Second
	// creditWindow is how long a home remembers a grant after it was made, to credit unused tokens of long requests.
	creditWindow = 10 * time.Minute
	// historyGrains divides a capacity into the steps in which a bucket remembers how full it was.
	historyGrains = 256

	// microPerToken is the resolution of buckets.
	microPerToken = 1_000_000
)
