// Package scope bounds the life of the goroutines that a struct starts.
package scope

import (
	"context"
	"sync"
)

// Scope is the life of a struct with Run and Close: it ends with Run's context or with Close, and Close waits
// until all that was started in it has returned. The zero value is ready.
type Scope struct {
	mu     sync.Mutex
	closed bool
	cancel []context.CancelFunc
	life   context.Context
	wg     sync.WaitGroup
}

// Context returns a context that Close cancels, for work that outlives the request which began it.
func (s *Scope) Context() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life != nil {
		return s.life
	}
	life, cancel := context.WithCancel(context.Background())
	s.life = life
	if s.closed {
		cancel()
	} else {
		s.cancel = append(s.cancel, cancel)
	}
	return life
}

// Enter returns a context that Close cancels, and a function that the caller must call when it returns.
// After Close the context is cancelled already.
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

// Go runs f in a goroutine that Close waits for. It does nothing and returns false after Close.
func (s *Scope) Go(f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.wg.Go(f)
	return true
}

// Close cancels the contexts and waits.
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
