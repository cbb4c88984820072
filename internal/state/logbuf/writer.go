// Package logbuf writes log lines asynchronously, so that a slow or blocked output never delays the code that logs. The queue
// and the rate are bounded; lines above the bounds are dropped and counted.
package logbuf

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxQueuedLines bounds the lines that wait to be written, of some 200 bytes each.
	maxQueuedLines = 4096
	// maxLinesPerSecond bounds the lines written: three per request at the published peak rate of a VM.
	maxLinesPerSecond = 1500
	// flushInterval is how long a line may stay in the buffer, so that one call writes many.
	flushInterval = 50 * time.Millisecond
	bufferBytes   = 64 << 10
)

// Writer is a non-blocking io.Writer for log lines. Its fields are set before Start.
type Writer struct {
	// Out receives the lines. It may block.
	Out io.Writer

	lines     chan []byte
	stop      chan struct{}
	done      chan struct{}
	dropped   atomic.Int64
	closeOnce sync.Once
}

var droppedLines = metrics.GetOrCreateCounter("gooseberrywayLogLinesDropped")

// Start starts the goroutine that writes to Out.
func (w *Writer) Start() {
	w.lines = make(chan []byte, maxQueuedLines)
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go w.run()
}

// Write queues a line, or counts it as dropped if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.countDropped()
	}
	return len(line), nil
}

func (w *Writer) countDropped() {
	w.dropped.Add(1)
	droppedLines.Inc()
}

// Close writes the queued lines and waits until they are flushed to Out. It always returns nil.
func (w *Writer) Close() error {
	w.closeOnce.Do(func() { close(w.stop) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	out := bufio.NewWriterSize(w.Out, bufferBytes)
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	windowStart, budget := time.Now(), maxLinesPerSecond
	for {
		select {
		case line := <-w.lines:
			if budget--; budget < 0 {
				w.countDropped()
				continue
			}
			// There is nowhere to report a failed write of the log.
			_, _ = out.Write(line)
		case <-flush.C:
			if time.Since(windowStart) >= time.Second {
				windowStart, budget = time.Now(), maxLinesPerSecond
				w.writeDropped(out)
			}
			_ = out.Flush()
		case <-w.stop:
			w.drain(out)
			return
		}
	}
}

// writeDropped writes how many lines were dropped since the last call, if any.
func (w *Writer) writeDropped(out io.Writer) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(out, "\"Log lines dropped\" lines=%d\n", n)
	}
}

func (w *Writer) drain(out *bufio.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			w.writeDropped(out)
			_ = out.Flush()
			return
		}
	}
}
