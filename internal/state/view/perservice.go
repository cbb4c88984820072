package view

import "sync"

// PerService holds one value per service, created at the first request for it. It is safe for concurrent use.
type PerService[T any] struct {
	// New creates a value and is set before the first call; nil creates zero values.
	New func() *T

	mu     sync.Mutex
	values map[ServiceID]*T
}

// Of returns the value of a service and creates it if necessary.
func (p *PerService[T]) Of(service ServiceID) *T {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.values[service]; v != nil {
		return v
	}
	v := new(T)
	if p.New != nil {
		v = p.New()
	}
	if p.values == nil {
		p.values = map[ServiceID]*T{}
	}
	p.values[service] = v
	return v
}
