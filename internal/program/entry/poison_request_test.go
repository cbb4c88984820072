package entry

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// deadlyBody is the body of the request that crashes upstreams.
const deadlyBody = "deadly body"

func hasDeadlyBody(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	return err == nil && string(body) == deadlyBody
}

// sendRequests sends requests to all daemons in turn for the given time, every fifth with deadlyBody. It returns how many of the
// others were answered and how many there were.
func sendRequests(f *testFleet, path string, d time.Duration) (answered, sound int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i, started := 0, time.Now(); time.Since(started) < d; i++ {
		body := fmt.Sprint("body ", i%7)
		if i%5 == 0 {
			body = deadlyBody
		}
		// Callers' repeats have new ids, and new last parts of their prompts.
		prompt := fmt.Sprintf("sys:100,doc:50,own%d:20", i)
		callers.Go(func() {
			resp := f.call(f.daemons[i%len(f.daemons)], path, fmt.Sprint(started.UnixNano(), "-", i), "secret", body,
				"X-Gooseberryway-Model", "m", "X-Gooseberryway-Token-Counts", "200,5", "X-Gooseberryway-Prompt-Prefix", prompt)
			content := bodyOf(resp)
			mu.Lock()
			defer mu.Unlock()
			if body == deadlyBody {
				return
			}
			sound++
			if resp.StatusCode == http.StatusOK && (strings.Contains(content, "id: 3\n") || strings.HasPrefix(content, "answer")) {
				answered++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	callers.Wait()
	return answered, sound
}

// Guards against one request that comes again and crashes one upstream after the other.
func TestRepeatedRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	for path, service := range map[string]string{"/draft/x": "llm", "/note/x": "llm", "/order/x": "app", "/lookup/x": "app"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.configureRate(1, 1000000, "secret")
			upstreams := startCrashingUpstreams(f, 6, service, hasDeadlyBody)
			for i := range 3 {
				f.start(fmt.Sprint("d", i), nil)
			}
			f.ready(6)
			sendRequests(f, path, stabilityWindow+2*time.Second)
			answered, sound := sendRequests(f, path, 2*time.Second)
			require.LessOrEqual(t, upstreams.lateAfter(3), allowedLate, "the request still reaches upstreams, %d crashed", len(upstreams.crashes))
			require.GreaterOrEqual(t, answered, sound*9/10, "sound requests with the same shared parts are served")
		})
	}
}
