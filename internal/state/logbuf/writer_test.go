package logbuf

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedWriter is an output whose writes block until unblocked is closed.
type blockedWriter struct {
	mu        sync.Mutex
	unblocked chan struct{}
	output    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblocked
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

// The output can block, for example if it is a pipe that nobody reads. Code that logs must not block with it; lines that don't
// fit into the queue are dropped and counted.
func TestWriteDropsLinesWhileOutputBlocks(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	w := &Writer{Out: out}
	w.Start()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * maxQueuedLines {
			_, _ = w.Write([]byte(strings.Repeat("x", 100) + "\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocks on the output")
	}
	close(out.unblocked)
	require.NoError(t, w.Close())
	require.Contains(t, out.output.String(), "Log lines dropped")
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	w.Start()
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	require.NoError(t, w.Close())
	require.Equal(t, "one\ntwo\n", out.String())
}
