// Package logbuf writes log lines without ever holding up who logs: a bounded queue, a bounded rate, and a count of what
// was left out.
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
	// queueLines bounds the lines that wait to be written, some 200 bytes each.
	queueLines = 4096
	// linesPerSecond bounds what is written: three lines a request at the published peak of a VM.
	linesPerSecond = 1500
	// flushPeriod is how long a line may wait, so that many go out in one call.
	flushPeriod = 50 * time.Millisecond
	bufferBytes = 64 << 10
)

// Writer is the output of the program's log. Its fields are set before Start.
type Writer struct {
	Out io.Writer

	lines   chan []byte
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64
	closing sync.Once
}

var droppedLines = metrics.GetOrCreateCounter("gooseberrywayLogLinesDropped")

// Start begins to write in the background.
func (w *Writer) Start() {
	w.lines = make(chan []byte, queueLines)
	w.stop, w.done = make(chan struct{}), make(chan struct{})
	go w.run()
}

// Write queues a line, or counts it as dropped if the queue is full. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.drop()
	}
	return len(line), nil
}

func (w *Writer) drop() {
	w.dropped.Add(1)
	droppedLines.Inc()
}

// Close writes what is queued and waits until it is out.
func (w *Writer) Close() error {
	w.closing.Do(func() { close(w.stop) })
	<-w.done
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	out := bufio.NewWriterSize(w.Out, bufferBytes)
	flush := time.NewTicker(flushPeriod)
	defer flush.Stop()
	second, budget := time.Now(), linesPerSecond
	for {
		select {
		case line := <-w.lines:
			if budget--; budget < 0 {
				w.drop()
				continue
			}
			// A broken output has nowhere to be reported.
			_, _ = out.Write(line)
		case <-flush.C:
			if time.Since(second) >= time.Second {
				second, budget = time.Now(), linesPerSecond
				w.report(out)
			}
			_ = out.Flush()
		case <-w.stop:
			w.drain(out)
			return
		}
	}
}

// report tells how many lines were left out in the last second.
func (w *Writer) report(out io.Writer) {
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
			w.report(out)
			_ = out.Flush()
			return
		}
	}
}
