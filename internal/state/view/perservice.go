package view

import "sync"

// PerService holds a value for each service, which is made when it is first asked for. Make is set before the first call;
// nil makes zero values.
type PerService[T any] struct {
	New func() *T

	mu     sync.Mutex
	values map[ServiceID]*T
}

// Of returns the value of a service.
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
