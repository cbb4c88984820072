// Package fakes holds in-memory stand-ins of outside systems for tests of decisions, driven by the runtime's clock.
package fakes

import (
	"context"
	"sync"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Operation is a call to the log service.
type Operation string

// Operations.
const (
	OperationAppend Operation = "append"
	OperationRead   Operation = "read"
)

// Fault is what happens to one call. The zero Fault lets it succeed at once.
type Fault struct {
	// Delay passes before the call takes effect, also if the caller has given up by then.
	Delay time.Duration
	// AnswerDelay passes between the effect and the answer.
	AnswerDelay time.Duration
	// Refused makes the call fail without effect.
	Refused bool
	// Lost makes the call take effect without an answer.
	Lost bool
}

// Log is a log service in memory. Its fields are set before use.
type Log struct {
	// Retain is the number of records that a stream keeps; 0 is all.
	Retain int
	// AppendsPerSecond bounds the appends; 0 is unbounded.
	AppendsPerSecond int

	mu      sync.Mutex
	streams map[extern.Stream]*stream
	second  time.Time
	appends int
	calls   sync.WaitGroup
}

// Close waits for the calls that are still to take effect.
func (l *Log) Close() { l.calls.Wait() }

type stream struct {
	entries []extern.LogEntry
	first   ident.Offset
	tail    ident.Offset
}

// LogClient is one daemon's access to a Log.
type LogClient struct {
	Log *Log
	// Fault returns what happens to the next call; nil for nothing.
	Fault func(Operation) Fault
}

// TotalAppends returns the number of records that were appended to a stream.
func (l *Log) TotalAppends(name extern.Stream) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.stream(name).tail)
}

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

// Append implements extern.Log.
func (c *LogClient) Append(ctx context.Context, name extern.Stream, payload []byte) (ident.Offset, error) {
	return call(ctx, c.Log, c.fault(OperationAppend), name, func() (ident.Offset, error) {
		return c.Log.append(name, payload)
	})
}

// Read implements extern.Log.
func (c *LogClient) Read(ctx context.Context, name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	return call(ctx, c.Log, c.fault(OperationRead), name, func() (extern.LogBatch, error) {
		return c.Log.read(name, from, limit)
	})
}

func (c *LogClient) fault(op Operation) Fault {
	if c.Fault == nil {
		return Fault{}
	}
	return c.Fault(op)
}

// call runs do with the fault. It goes on after the caller has given up.
func call[T any](ctx context.Context, l *Log, fault Fault, name extern.Stream, do func() (T, error)) (T, error) {
	if fault == (Fault{}) {
		return do()
	}
	type answer struct {
		value T
		err   error
	}
	answers := make(chan answer, 1)
	l.calls.Go(func() {
		time.Sleep(fault.Delay)
		var a answer
		if fault.Refused {
			a.err = &extern.LogError{Kind: extern.LogRefused, Stream: name}
		} else {
			a.value, a.err = do()
		}
		time.Sleep(fault.AnswerDelay)
		if !fault.Lost {
			answers <- a
		}
	})
	select {
	case a := <-answers:
		return a.value, a.err
	case <-ctx.Done():
		var none T
		return none, &extern.LogError{Kind: extern.LogUnknown, Stream: name, Err: ctx.Err()}
	}
}

func (l *Log) append(name extern.Stream, payload []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.admit() {
		return 0, &extern.LogError{Kind: extern.LogRefused, Stream: name}
	}
	s := l.stream(name)
	s.tail++
	s.entries = append(s.entries, extern.LogEntry{Offset: s.tail, Payload: payload})
	s.first = max(s.first, 1)
	if l.Retain > 0 && len(s.entries) > l.Retain {
		s.entries = s.entries[1:]
		s.first++
	}
	return s.tail, nil
}

func (l *Log) admit() bool {
	if l.AppendsPerSecond == 0 {
		return true
	}
	if second := time.Now().Truncate(time.Second); !second.Equal(l.second) {
		l.second, l.appends = second, 0
	}
	l.appends++
	return l.appends <= l.AppendsPerSecond
}

func (l *Log) read(name extern.Stream, from ident.Offset, limit int) (extern.LogBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	batch := extern.LogBatch{First: s.first, Tail: s.tail}
	if from < s.first {
		return batch, &extern.LogError{Kind: extern.LogExpired, Stream: name}
	}
	if from > s.tail || s.tail == 0 {
		return batch, nil
	}
	entries := s.entries[from-s.first:]
	batch.Entries = append(batch.Entries, entries[:min(limit, len(entries))]...)
	return batch, nil
}
