package fakes

import (
	"context"
	"time"
)

// expiryPoll is the time between two looks at the state that ends a context.
const expiryPoll = time.Millisecond

// expiring is a context whose deadline passes when done is closed.
type expiring struct {
	context.Context
	done chan struct{}
}

// ExpireWhen returns a context that ends like one whose deadline has passed, as soon as reached returns true. It ends
// with ctx too. Tests use it in place of a short deadline, which a busy machine may miss at any point of a call.
func ExpireWhen(ctx context.Context, reached func() bool) context.Context {
	e := &expiring{Context: ctx, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		for ctx.Err() == nil && !reached() {
			time.Sleep(expiryPoll)
		}
	}()
	return e
}

// Done implements context.Context.
func (e *expiring) Done() <-chan struct{} { return e.done }

// Err implements context.Context.
func (e *expiring) Err() error {
	select {
	case <-e.done:
	default:
		return nil
	}
	if err := e.Context.Err(); err != nil {
		return err
	}
	return context.DeadlineExceeded
}
