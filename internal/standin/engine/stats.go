package engine

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Stats are the engine's counters since it was created; crashes don't reset them.
type Stats struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Requests    int               `json:"requests"`
	Answered    int               `json:"answered"`
	Cancelled   int               `json:"cancelled"`
	Refused     int               `json:"refused"`
	Failed      int               `json:"failed"`
	Truncated   int               `json:"truncated"`
	Mismatched  int               `json:"crossed"`
	Crashes     int               `json:"crashes"`
	MaxRunning  int               `json:"maxRunning"`
	// RepeatedRuns counts starts of a request that ran before, other than to resume it after its first tokens.
	RepeatedRuns int `json:"repeatedRuns"`
	// WorkAfterLeaving counts requests accepted after the time given to Leave.
	WorkAfterLeaving int `json:"workAfterLeaving"`
	// CrossOrganisationBlocks counts uses of a cached block for another organisation or version than its own.
	CrossOrganisationBlocks int `json:"crossOrganisationBlocks"`
	// CallerKeysSeen counts requests that contained one of the keys given to WatchCallerKeys.
	CallerKeysSeen int `json:"callerKeysSeen"`
	// OrdersAccepted counts accepted orders, OrdersFenced those rejected for a stale fencing token, OrdersUnidentified
	// those rejected for a wrong credential, StaleOrdersAccepted those accepted despite a stale token because
	// ChecksFencing is off.
	OrdersAccepted      int `json:"ordersTaken"`
	OrdersFenced        int `json:"ordersFenced"`
	OrdersUnidentified  int `json:"ordersUnidentified"`
	StaleOrdersAccepted int `json:"staleOrdersTaken"`

	PromptTokens   ident.Tokens `json:"promptTokens"`
	CachedTokens   ident.Tokens `json:"cachedTokens"`
	ImportedTokens ident.Tokens `json:"importedTokens"`
	ComputedTokens ident.Tokens `json:"computedTokens"`
	OutputTokens   ident.Tokens `json:"outputTokens"`
}

// Stats returns a copy of the counters and the current incarnation.
func (e *Engine) Stats() Stats {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	stats := e.stats
	stats.Incarnation = e.incarnation
	return stats
}

// Runs returns how often each request was started.
func (e *Engine) Runs() map[ident.RequestID]int {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.runCounts)
}

// Leave makes requests that are accepted after the given unscaled time count as WorkAfterLeaving. Tests call it when they
// remove the engine from the VM list, to check that the router stops using it.
func (e *Engine) Leave(grace time.Duration) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaveAt = time.Now().Add(e.scaled(grace))
}

// WatchCallerKeys sets the callers' keys that the router must not forward. Requests that contain one count as
// CallerKeysSeen.
func (e *Engine) WatchCallerKeys(keys []string) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callerKeys = keys
}
