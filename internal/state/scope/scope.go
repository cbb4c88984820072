// Package scope ties the lifetime of goroutines to that of the struct that starts them.
package scope

import (
	"context"
	"sync"
)

// Scope is the lifetime of a struct with Run and Close methods. Close cancels the contexts of Enter and Context, and waits
// for the goroutines of Go and for the callers of Enter to return. The zero value is ready to use.
type Scope struct {
	mu     sync.Mutex
	closed bool
	// cancel holds the cancel functions of the contexts of Enter and Context.
	cancel []context.CancelFunc
	// lifetime is the result of Context; nil before its first call.
	lifetime context.Context
	wg       sync.WaitGroup
}

// Context returns a context that only Close cancels, for work that outlives the request that started it.
func (s *Scope) Context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lifetime != nil {
		return s.lifetime
	}
	lifetime, cancel := context.WithCancel(context.Background())
	s.lifetime = lifetime
	if s.closed {
		cancel()
	} else {
		s.cancel = append(s.cancel, cancel)
	}
	return lifetime
}

// Enter returns a context that ctx and Close cancel, and a function that the caller must call when it returns. Close waits
// for that call. After Close, the returned context is already cancelled.
func (s *Scope) Enter(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		cancel()
		return ctx, func() {}
	}
	s.cancel = append(s.cancel, cancel)
	s.wg.Add(1)
	return ctx, func() {
		cancel()
		s.wg.Done()
	}
}

// Go runs f in a goroutine, for which Close waits, and returns true. After Close it does nothing and returns false.
func (s *Scope) Go(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Go(f)
	return true
}

// Close cancels the contexts of Enter and Context, and waits until the callers of Enter and the goroutines of Go have
// returned.
func (s *Scope) Close() {
	s.mu.Lock()
	s.closed = true
	cancel := s.cancel
	s.cancel = nil
	s.mu.Unlock()
	for _, f := range cancel {
		f()
	}
	s.wg.Wait()
}
