package soak

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// pausedCalls is the number of streams that run while their daemon is suspended, for longer than an upstream may send nothing.
	pausedCalls = 32
	daemonPause = 2 * time.Second
	// pausedStreamTime is how long each of the streams takes.
	pausedStreamTime = 5 * time.Second
)

// Guards against a daemon that takes its own suspension for the silence of its upstreams, and gives up streams that have never paused.
func TestSuspendedDaemonGivesNoUpstreamUp(t *testing.T) {
	s := newStopRun(t, buildBinary(t), 1, false)
	t.Cleanup(func() { s.keepLogsOnFailure(s.seed) })
	s.waitReady()
	p := s.processes[0]
	var wg sync.WaitGroup
	calls := make([]*call, pausedCalls)
	for i := range calls {
		q := &call{
			id: fmt.Sprint("paused-", i), kind: "note", daemon: p, deadline: longDeadline,
			script: standin.Script{Events: 50, Time: pausedStreamTime},
		}
		calls[i] = q
		c, err := net.Dial("tcp4", p.callerAddress)
		require.NoError(t, err)
		wg.Go(func() { s.exchange(&keptConn{Conn: c, r: bufio.NewReader(c)}, q) })
	}
	time.Sleep(time.Second)
	p.signal(syscall.SIGSTOP)
	time.Sleep(daemonPause)
	p.signal(syscall.SIGCONT)
	wg.Wait()
	runs, _ := s.stopRuns()
	again := 0
	for _, q := range calls {
		require.True(t, q.complete && q.status == http.StatusOK && q.other == "", "%s: status %d, %v %s", q.id, q.status, q.err, q.other)
		again += len(runs[q.id]) - 1
	}
	require.Zero(t, again, "streams that ran again")
}
