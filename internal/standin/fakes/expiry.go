package fakes

import (
	"context"
	"time"
)

// expiryPollInterval is the time between two checks of the condition that ends a context.
const expiryPollInterval = time.Millisecond

// expiringContext is a context that reports an exceeded deadline once done is closed.
type expiringContext struct {
	context.Context
	done chan struct{}
}

// ExpireWhen returns a context that ends with context.DeadlineExceeded once reached returns true, or with the error of
// ctx if ctx ends first. Tests use it instead of a short deadline, which on a busy host can pass at any point of a call.
func ExpireWhen(ctx context.Context, reached func() bool) context.Context {
	e := &expiringContext{Context: ctx, done: make(chan struct{})}
	go func() {
		defer close(e.done)
		for ctx.Err() == nil && !reached() {
			time.Sleep(expiryPollInterval)
		}
	}()
	return e
}

// Done implements context.Context.
func (e *expiringContext) Done() <-chan struct{} { return e.done }

// Err implements context.Context.
func (e *expiringContext) Err() error {
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
