// Package fakes provides an in-memory log service with injectable delays and failures, and a context that expires on a
// condition. Both use the runtime's clock, so tests can run them under testing/synctest.
package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Operation is the kind of a call to the log service.
type Operation string

// The operations of the log service.
const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
)

// Fault describes how one call is delayed or fails. With the zero Fault it succeeds at once.
type Fault struct {
	// Delay is the time before the call takes effect, which it does even if the caller has given up by then.
	Delay time.Duration
	// ResponseDelay is the time between the effect and the response.
	ResponseDelay time.Duration
	// Refused makes the call fail with extern.LogRefused, without effect.
	Refused bool
	// Lost makes the call take effect without a response.
	Lost bool
}

// Log is an in-memory log service. Set the exported fields before use.
type Log struct {
	// Retain is the number of latest records that a stream keeps; 0 keeps all.
	Retain int
	// AppendsPerSecond is the maximum number of appends in each second of the clock; 0 means no limit.
	AppendsPerSecond int

	mu            sync.Mutex
	streams       map[extern.Stream]*stream
	windowStart   time.Time
	windowAppends int
	pendingCalls  sync.WaitGroup
}

// Close waits until all calls have taken effect, including those whose callers have given up.
func (l *Log) Close() { l.pendingCalls.Wait() }

// stream holds the retained records, which have the offsets firstOffset to tailOffset.
type stream struct {
	entries     []extern.LogEntry
	firstOffset ident.Offset
	tailOffset  ident.Offset
}

// LogClient is one daemon's access to a Log.
type LogClient struct {
	Log *Log
	// Fault returns the fault of the next call; with nil, all calls succeed at once.
	Fault func(Operation) Fault
}

// TotalAppends returns the number of records ever appended to a stream, including those no longer retained.
func (l *Log) TotalAppends(name extern.Stream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.stream(name).tailOffset)
}

// stream returns the named stream, creating it if needed. The caller holds l.mu.
func (l *Log) stream(name extern.Stream) *stream {
	if l.streams == nil {
		l.streams = map[extern.Stream]*stream{}
	}
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

// Append implements extern.Log. The error is an *extern.LogError of kind LogRefused or LogUnknown.
func (c *LogClient) Append(ctx context.Context, name extern.Stream, payload []byte) (ident.Offset, error) {
	return callWithFault(ctx, c.Log, c.nextFault(OperationAppend), name, func() (ident.Offset, error) {
		return c.Log.append(name, payload)
	})
}

// Read implements extern.Log. The error is an *extern.LogError of kind LogRefused, LogExpired or LogUnknown.
func (c *LogClient) Read(ctx context.Context, name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	return callWithFault(ctx, c.Log, c.nextFault(OperationRead), name, func() (extern.LogBatch, error) {
		return c.Log.read(name, from, limit)
	})
}

func (c *LogClient) nextFault(op Operation) Fault {
	if c.Fault == nil {
		return Fault{}
	}
	return c.Fault(op)
}

// callWithFault runs the operation with the fault. If ctx ends first, it returns extern.LogUnknown, and the operation still
// takes effect in the background.
func callWithFault[T any](ctx context.Context, l *Log, fault Fault, name extern.Stream, operation func() (T, error)) (T, error) {
	if fault == (Fault{}) {
		return operation()
	}
	type result struct {
		value T
		err   error
	}
	results := make(chan result, 1)
	l.pendingCalls.Go(func() {
		time.Sleep(fault.Delay)
		var r result
		if fault.Refused {
			r.err = &extern.LogError{Kind: extern.LogRefused, Stream: name}
		} else {
			r.value, r.err = operation()
		}
		time.Sleep(fault.ResponseDelay)
		if !fault.Lost {
			results <- r
		}
	})
	select {
	case r := <-results:
		return r.value, r.err
	case <-ctx.Done():
		var zero T
		return zero, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: ctx.Err()}
	}
}

func (l *Log) append(name extern.Stream, payload []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.allowAppend() {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: name}
	}
	s := l.stream(name)
	s.tailOffset++
	s.entries = append(s.entries, extern.LogEntry{Offset: s.tailOffset, Payload: payload})
	s.firstOffset = max(s.firstOffset, 1)
	if l.Retain > 0 && len(s.entries) > l.Retain {
		s.entries = s.entries[1:]
		s.firstOffset++
	}
	return s.tailOffset, nil
}

// allowAppend counts an append and reports whether it is within AppendsPerSecond. The caller holds l.mu.
func (l *Log) allowAppend() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	if second := time.Now().Truncate(time.Second); !second.Equal(l.windowStart) {
		l.windowStart, l.windowAppends = second, 0
	}
	l.windowAppends++
	return l.windowAppends <= l.AppendsPerSecond
}

func (l *Log) read(name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := extern.LogBatch{First: s.firstOffset, Tail: s.tailOffset}
	if from < s.firstOffset {
		return batch, &extern.LogError{Kind: extern.LogExpired, Stream: name}
	}
	if from > s.tailOffset || s.tailOffset == 0 {
		return batch, nil
	}
	entries := s.entries[from-s.firstOffset:]
	batch.Entries = append(batch.Entries, entries[:min(limit, len(entries))]...)
	return batch, nil
}
