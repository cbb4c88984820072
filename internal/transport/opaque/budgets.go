package opaque

import (
	"sync"

	"github.com/gooseberryway/gooseberryway/internal/coordination/relay"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/state/view"
)

// Budgets holds the retry budget of each service. Its fields are set before the first call.
type Budgets struct {
	// Share is the retries for a thousand requests.
	Share ident.Permille
	// Reserve returns the retries beyond that of this daemon; it is asked when a service gets its first request.
	Reserve func() int64

	mu       sync.Mutex
	services map[view.ServiceID]*relay.Budget
}

// Of returns the budget of a service.
func (b *Budgets) Of(service view.ServiceID) *relay.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = map[view.ServiceID]*relay.Budget{}
	}
	budget := b.services[service]
	if budget == nil {
		budget = &relay.Budget{Share: b.Share, Reserve: b.Reserve()}
		b.services[service] = budget
	}
	return budget
}
