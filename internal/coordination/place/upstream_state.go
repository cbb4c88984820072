package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/gooseberryway/gooseberryway/internal/coordination/estim"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// ChainKey identifies a prefix chain under a cache salt. It has only 32 bits, as heartbeats carry many of them. A
// collision makes two chains look like one, which costs the prefill of a prompt.
type ChainKey uint32

func newChainKey(salt, part string) ChainKey {
	return ChainKey(xxhash.Sum64String(salt + "\x00" + part))
}

// SentChain says that a prefix chain was sent to an engine.
type SentChain struct {
	Chain  ChainKey
	Engine ident.UpstreamID

	sentAt time.Time
}

// upstreamState is what a daemon knows of one upstream beyond its registration.
type upstreamState struct {
	id          ident.UpstreamID
	incarnation ident.Incarnation
	// estimates are shared by all upstreams of the service.
	estimates *estimates
	own       OutstandingWork
	reservations
	peerWork map[ident.DaemonID]peerReport

	weights map[ident.ModelID]int64
	// weightsChangedAt is when this daemon saw the engine start or its weights change, so that its cache was empty; zero if
	// it did not see that.
	weightsChangedAt time.Time
	// loadingUntil is when the upstream takes work again after loading weights.
	loadingUntil time.Time

	// leaving says that the upstream has announced its end in a response; noticedAt is when it last gave such a notice.
	leaving   bool
	noticedAt time.Time
	// pausedUntil is until when the upstream wants no requests from this daemon.
	pausedUntil time.Time

	// excessSlowness is the mean of slowness minus 1, failureRate the share of requests that failed. Both decay to 0.
	excessSlowness, failureRate estim.DecayingMean

	// firstTokenWait is the longest wait for a first token of late, in nanoseconds. unbegun holds when the requests of this daemon were sent that have
	// none yet.
	firstTokenWait estim.DecayingPeak
	unbegun        map[*Tracker]time.Time

	// down is set by a failed connection or a silence, and cleared by a successful connection.
	down      bool
	downSince time.Time
	// lastActiveAt is when the upstream last sent anything or accepted a connection, or when a request was sent to it
	// while it had none.
	lastActiveAt time.Time
	// lastBytesAt is the same without accepted connections.
	lastBytesAt time.Time
	// workConfirmedAt is when a report of the engine last said that it works on requests.
	workConfirmedAt time.Time

	// heardAt is when the upstream last sent anything; zero if it never did.
	heardAt time.Time

	// recentChains holds when a chain was last sent here by any daemon.
	recentChains map[ChainKey]time.Time
}

// OutstandingWork is the work in progress at an upstream.
type OutstandingWork struct {
	// Requests is the number of requests that were sent and not answered in full.
	Requests int
	// PrefillTokens are the prompt tokens of requests without a first event. LatePrefillTokens are those of them that
	// belong to late requests, which run at a lower priority.
	PrefillTokens, LatePrefillTokens ident.Tokens
}

// peerReport is outstanding work from the last heartbeat of a peer.
type peerReport struct {
	OutstandingWork
	receivedAt time.Time
}

// totalWork returns the sum of the work of this daemon and of all peers.
func (s *upstreamState) totalWork(now time.Time, maxReportAge time.Duration) OutstandingWork {
	sum := s.own
	for _, p := range s.peerWork {
		if now.Sub(p.receivedAt) < maxReportAge {
			sum.Requests += p.Requests
			sum.PrefillTokens += p.PrefillTokens
			sum.LatePrefillTokens += p.LatePrefillTokens
		}
	}
	return sum
}

// slowness returns the ratio of the observed to the normal time to first token, at least 1.
func (s *upstreamState) slowness(now time.Time) float64 { return 1 + s.excessSlowness.At(now) }

// observeTTFT updates the slowness with an observed and an estimated time to first token.
func (s *upstreamState) observeTTFT(now time.Time, took, estimated time.Duration) {
	ratio := min(max(float64(took)/float64(estimated)/normalTTFTRatio, 1), maxSlownessRatio)
	s.excessSlowness.Observe(now, ratio-1)
}

// observedWait returns how long requests have waited here for their first token of late, those included that still wait.
func (s *upstreamState) observedWait(now time.Time) time.Duration {
	longest := time.Duration(s.firstTokenWait.At(now))
	for _, sentAt := range s.unbegun {
		longest = max(longest, now.Sub(sentAt))
	}
	return longest
}

// silentFor returns for how long an upstream that was last active at since has sent nothing; 0 if it has no requests
// of this daemon or loads weights.
func (s *upstreamState) silentFor(now, since time.Time) time.Duration {
	if s.own.Requests == 0 || now.Before(s.loadingUntil) {
		return 0
	}
	// Requests that began before a load of weights continue after it.
	if s.loadingUntil.After(since) {
		since = s.loadingUntil
	}
	return now.Sub(since)
}

// isSilent reports whether the upstream has requests of this daemon and has sent nothing for longer than the prefill
// of its prompts takes, with silenceTimeout to spare.
func (s *upstreamState) isSilent(now time.Time, maxReportAge time.Duration) bool {
	prefill := prefillSlackFactor * s.slowness(now) * float64(s.prefillTime(s.totalWork(now, maxReportAge).PrefillTokens))
	return s.silentFor(now, s.lastActiveAt) > silenceTimeout+time.Duration(prefill)
}

// prefillTime returns how long the upstream usually takes to process so many prompt tokens.
func (s *upstreamState) prefillTime(tokens ident.Tokens) time.Duration {
	return time.Duration(tokens) * s.estimates.prefill.PerToken()
}

// shouldAbort reports whether requests at the upstream are to be aborted: for unreachableConfirmTime it has not been reachable
// and has sent nothing on its open connections either, or it accepts connections but has sent nothing for longer than
// hangTimeout. An upstream that is merely slow does neither.
func (s *upstreamState) shouldAbort(now time.Time, maxReportAge time.Duration) bool {
	if s.down && now.Sub(s.downSince) >= unreachableConfirmTime && now.Sub(s.lastBytesAt) >= unreachableConfirmTime {
		return true
	}
	return s.isHung(now, maxReportAge)
}

// markDown excludes the upstream until a connection succeeds.
func (s *upstreamState) markDown(now time.Time) {
	if !s.down {
		s.down, s.downSince = true, now
	}
}

// applyRegistration updates the state from a registration. A new incarnation has an empty cache, no failures, and may have other weights.
func (s *upstreamState) applyRegistration(u *view.Upstream) {
	if s.incarnation != u.Incarnation {
		s.incarnation = u.Incarnation
		s.weights = map[ident.ModelID]int64{}
		s.recentChains = map[ChainKey]time.Time{}
		s.failureRate.Reset()
		s.firstTokenWait.Reset()
		s.down, s.leaving, s.pausedUntil = false, false, time.Time{}
		s.weightsChangedAt = time.Now()
	}
	for model, version := range u.Weights {
		s.setWeightVersion(model, version)
	}
}

// setWeightVersion records a weight version that the engine has, unless it is known to have a newer one.
func (s *upstreamState) setWeightVersion(model ident.ModelID, version int64) {
	old, known := s.weights[model]
	if known && version <= old {
		return
	}
	s.weights[model] = version
	if known {
		s.weightsChangedAt = time.Now()
	}
}

// cacheSettled reports whether the engine has had its weights for so long that the prefixes in use are assumed to be
// in its cache.
func (s *upstreamState) cacheSettled(now time.Time) bool {
	return s.weightsChangedAt.IsZero() || now.Sub(s.weightsChangedAt) > defaultCacheRetention
}

// sentRecently reports whether the chain was sent here within the cache retention.
func (s *upstreamState) sentRecently(chain ChainKey, now time.Time) bool {
	at, ok := s.recentChains[chain]
	return ok && now.Sub(at) < s.estimates.cacheRetention
}

// recordSent records that a chain was sent here.
func (s *upstreamState) recordSent(chain ChainKey, now time.Time) {
	if len(s.recentChains) >= maxRecentChains {
		for k, at := range s.recentChains {
			if now.Sub(at) >= s.estimates.cacheRetention {
				delete(s.recentChains, k)
			}
		}
	}
	if len(s.recentChains) < maxRecentChains {
		s.recentChains[chain] = now
	}
}
