package claim

import (
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/wire"
)

// answers bounds the memory and the age of kept answers. It drops the oldest ones first.
type answers struct {
	mu    sync.Mutex
	bytes int
	order []keptAnswer
}

type keptAnswer struct {
	claim *claim
	bytes int
	at    time.Time
}

// keep keeps the answer of a claim and drops answers that are too old or above the bound.
func (a *answers) keep(c *claim, answer *wire.KeptAnswer, limit int, oldest time.Time) {
	if answer == nil {
		return
	}
	size := len(answer.GetBody()) + len(answer.GetContentType())
	c.answer.Store(answer)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.bytes += size
	a.order = append(a.order, keptAnswer{claim: c, bytes: size, at: time.Now()})
	for len(a.order) > 0 && (a.bytes > limit || a.order[0].at.Before(oldest)) {
		a.bytes -= a.order[0].bytes
		a.order[0].claim.answer.Store(nil)
		a.order = a.order[1:]
	}
}
