package logbuf

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	mu       sync.Mutex
	released chan struct{}
	got      bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func TestAStuckOutputHoldsUpNobodyAndDropsAreCounted(t *testing.T) {
	out := &stuck{released: make(chan struct{})}
	w := &Writer{Out: out}
	w.Start()
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 3 * queueLines {
			_, _ = w.Write([]byte(strings.Repeat("x", 100) + "\n"))
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write waits for the output")
	}
	close(out.released)
	require.NoError(t, w.Close())
	require.Contains(t, out.got.String(), "Log lines dropped")
}

func TestCloseWritesWhatIsQueued(t *testing.T) {
	var out bytes.Buffer
	w := &Writer{Out: &out}
	w.Start()
	_, _ = w.Write([]byte("one\n"))
	_, _ = w.Write([]byte("two\n"))
	require.NoError(t, w.Close())
	require.Equal(t, "one\ntwo\n", out.String())
}
