package claim

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// answerCache bounds the total size and the age of the stored answers. It evicts the oldest ones first.
type answerCache struct {
	mu          sync.Mutex
	bytes       int
	oldestFirst []cachedAnswer
}

type cachedAnswer struct {
	claim    *claim
	bytes    int
	storedAt time.Time
}

// store keeps the answer of a claim. It evicts answers that were stored before expireBefore, and the oldest ones
// while the total size is above maxBytes.
func (a *answerCache) store(c *claim, answer *wire.KeptAnswer, maxBytes int, expireBefore time.Time) {
	if answer == nil {
		return
	}
	size := len(answer.GetBody()) + len(answer.GetContentType())
	c.answer.Store(answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes += size
	a.oldestFirst = append(a.oldestFirst, cachedAnswer{claim: c, bytes: size, storedAt: time.Now()})
	for len(a.oldestFirst) > 0 && (a.bytes > maxBytes || a.oldestFirst[0].storedAt.Before(expireBefore)) {
		a.bytes -= a.oldestFirst[0].bytes
		a.oldestFirst[0].claim.answer.Store(nil)
		a.oldestFirst = a.oldestFirst[1:]
	}
}
