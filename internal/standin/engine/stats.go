package engine

import (
	"maps"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Stats counts what the engine has seen and done.
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
	// RepeatedRuns counts requests that were started again from the first token.
	RepeatedRuns int `json:"repeatedRuns"`
	// WorkAfterLeaving counts requests taken after the time given to Leave.
	WorkAfterLeaving int `json:"workAfterLeaving"`
	// CrossOrganisationBlocks counts cached blocks used for another organisation or version.
	CrossOrganisationBlocks int `json:"crossOrganisationBlocks"`
	// CallerKeysSeen counts requests that showed one of the keys given to WatchCallerKeys.
	CallerKeysSeen     int `json:"callerKeysSeen"`
	OrdersTaken        int `json:"ordersTaken"`
	OrdersFenced       int `json:"ordersFenced"`
	OrdersUnidentified int `json:"ordersUnidentified"`
	StaleOrdersTaken   int `json:"staleOrdersTaken"`

	PromptTokens   ident.Tokens `json:"promptTokens"`
	CachedTokens   ident.Tokens `json:"cachedTokens"`
	ImportedTokens ident.Tokens `json:"importedTokens"`
	ComputedTokens ident.Tokens `json:"computedTokens"`
	OutputTokens   ident.Tokens `json:"outputTokens"`
}

// Stats returns the counters.
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
	return maps.Clone(e.runs)
}

// Leave makes requests that come later than the given unscaled time count as work after leaving.
func (e *Engine) Leave(grace time.Duration) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leftAt = time.Now().Add(e.scaled(grace))
}

// WatchCallerKeys sets the callers' keys that must never be seen here.
func (e *Engine) WatchCallerKeys(keys []string) {
	e.init()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.callerKeys = keys
}
