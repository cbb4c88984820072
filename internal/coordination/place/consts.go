package place

import (
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Parameters of the cost model for engines. A cost is in prompt tokens: the number of tokens whose prefill would delay
// the first token of the response by as much. A factor is the cost of one token as a share of its prefill time, and a
// ratio is a time divided by the prefill time of the same tokens.
const (
	// runningRequestCostTokens is added for each request that runs at the engine, as running requests share each decoding
	// step. It follows from the published step times of engines.
	runningRequestCostTokens = 40.0
	// hashRankCostTokens is added for each rank in the rendezvous hash order. It breaks ties in favour of the preferred
	// engines, on which all daemons agree.
	hashRankCostTokens = 64.0
	// defaultFetchFactor is the cost of fetching a cached token over a link whose speed is not published.
	defaultFetchFactor = 0.4
	// minFetchFactor is the lower bound of the cost of fetching a token: links are shared, and a fetch that misses takes a
	// millisecond.
	minFetchFactor = 0.1
	// maxFetchFactor is the upper bound of the cost of fetching a token: an engine that finds its link busy computes the
	// prompt itself.
	maxFetchFactor = 1.0
	// A part is fetched from the KV cache store if the estimated time of the fetch, behind all other fetches from the
	// store, is at most storeFetchLimitRatioIfWaiting times the prefill time, or at most storeFetchLimitRatio times if
	// recent fetches waited for at most storeWaitRatio times the prefill time. The estimate alone is too high, as it
	// includes fetches of requests that wait for their engine and not for the link.
	storeFetchLimitRatioIfWaiting = 2.0
	storeWaitRatio                = 0.5
	storeFetchLimitRatio          = 6.0
	// fetchWaitWeight is the weight of one fetch in the mean of the observed waits, which decays with fetchWaitHalfLife.
	fetchWaitWeight   = 0.25
	fetchWaitHalfLife = time.Second
	// crossDomainFetchFactor is how many times as long a fetch between failure domains takes, as published.
	crossDomainFetchFactor = 2.0
	// duplicatePrefillFactor is the cost of computing a token that another engine is computing at the moment, so that the
	// same work is done twice.
	duplicatePrefillFactor = 3.0
	// presumedFetchFactor is the cost of fetching a token from the preferred engine of its prefix chain, which may have
	// evicted it.
	presumedFetchFactor = 1.0
	// nonPreferredPrefillFactor is the cost of computing a token at another engine than the preferred one of its prefix
	// chain, where other daemons will not look for it.
	nonPreferredPrefillFactor = 3.0
	// oldWeightsCostTokens is added for an engine whose weights were replaced more than oldWeightsFreeTime ago.
	oldWeightsCostTokens = 6000.0
	// failureCostTokens is added for an engine all of whose requests fail, and in proportion below that.
	failureCostTokens = 40000.0
	// excessRequestCostTokens is added for each request beyond the slots of an engine.
	excessRequestCostTokens = 800.0
)

const (
	// oldWeightsFreeTime is how long replaced weights add no cost. It is below the 1.5 s after which responses with old
	// weights are worth less to callers.
	oldWeightsFreeTime = 1200 * time.Millisecond
	// defaultCacheRetention is how long an engine is assumed to keep a prefix chain that was sent to it, until that can be
	// estimated. It is also how long after a change of weights an engine is assumed to have cached the prefixes in use.
	defaultCacheRetention = 8 * time.Second
	// minCacheRetention and maxCacheRetention bound the estimated retention, which is updated every
	// retentionUpdateInterval.
	minCacheRetention       = time.Second
	maxCacheRetention       = fetchSourceTTL
	retentionUpdateInterval = 250 * time.Millisecond
	// idleCacheShare is the share of an engine's cache memory that keeps blocks of no running request; running requests
	// occupy the rest.
	idleCacheShare = 0.8
	// fetchSourceTTL is how long after a prefix chain was sent to an engine the chain is fetched from there. It exceeds the
	// usual retention, as a fetch that misses takes only a millisecond.
	fetchSourceTTL = 30 * time.Second
	// peerReportTTL is how long the work in a peer's report counts in a small fleet, peerReportTTLHeartbeats the same in
	// heartbeat periods of a large fleet.
	peerReportTTL           = 700 * time.Millisecond
	peerReportTTLHeartbeats = 2.5
	// failureHalfLife is the time in which the failure rate of an upstream decays to a half.
	failureHalfLife = 2500 * time.Millisecond
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.25
	// silenceTimeout is how long an upstream with requests may send nothing, beyond the prefill time of its prompts, before
	// it is taken to be down. It covers several decoding steps of an engine and the 99th percentile of plain requests.
	silenceTimeout = 450 * time.Millisecond
	// unreachableConfirmTime is how long an upstream has to be down before its requests are aborted: the time for one
	// attempt to connect and for noticing that it succeeded.
	unreachableConfirmTime = 350 * time.Millisecond
	// hangTimeout is how long an upstream that accepts connections may send nothing, beyond the prefill time of its
	// prompts, before its requests are aborted. Pauses of slow engines are shorter, and callers wait for 2 s.
	hangTimeout = 1500 * time.Millisecond
	// slownessWeight is the weight of one time to first token in the slowness of an upstream, which decays with
	// slownessHalfLife. maxSlownessRatio bounds the ratio of the observed to the normal time.
	slownessWeight   = 0.2
	slownessHalfLife = 3 * time.Second
	maxSlownessRatio = 4.0
	// normalTTFTRatio is the ratio of the observed to the estimated time to first token at an upstream that is not slow:
	// responses that are generated at the same time delay the prefill.
	normalTTFTRatio = 1.5
	// prefillSlackFactor is how many times its usual prefill time an engine may take.
	prefillSlackFactor = 2
	// meanChainTokens is the mean size of a prefix chain, as published.
	meanChainTokens ident.Tokens = 6300
	// minSentChainTTL is how long a sent chain is repeated in heartbeats of a small fleet: two heartbeats, in case one is
	// lost. sentChainTTLHeartbeats is the same in heartbeat periods of a large fleet.
	minSentChainTTL        = 120 * time.Millisecond
	sentChainTTLHeartbeats = 1.1
	// maxSentChains bounds the number of sent chains in one heartbeat.
	maxSentChains = 128
	// maxRecentChains bounds the number of chains remembered for an engine.
	maxRecentChains = 4096
	// startupTime is how long after the first upstream others are taken to have been there before: an engine that appears
	// later has an empty cache.
	startupTime = 3 * time.Second
	// maxLimitedRetryAfter is the maximum of a Retry-After because of limits: a limit may be raised or end meanwhile.
	maxLimitedRetryAfter = 5 * time.Second
	// maxPrefillRecords is the number of prefill records above which expired ones are removed.
	maxPrefillRecords = 16384
)
