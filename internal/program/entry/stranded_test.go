package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/platform/standin"
)

const (
	// countedAfter is the time after a cut from which the users count what is served.
	countedAfter = 3 * time.Second
	// promptRefusal is the time within which a request that can't be served is refused.
	promptRefusal = 500 * time.Millisecond
	fleetEvents   = 5
	// callerPause is the time between two requests of a caller.
	callerPause = 40 * time.Millisecond
)

// routePaths are a stream, a resumable stream, a non-idempotent route and an idempotent one.
var routePaths = []string{"/draft/x", "/note/x", "/order/x", "/lookup/x"}

// strandedFleet is a fleet whose daemons can be cut off from the upstreams, two engines and two others.
type strandedFleet struct {
	*testFleet
	upstreams []*standin.Upstream
	addresses map[string]string
}

// newStrandedFleet starts a fleet. change, unless it is nil, changes each upstream before it starts.
func newStrandedFleet(t *testing.T, daemons int, change func(*standin.Upstream)) *strandedFleet {
	t.Helper()
	return newStrandedFleetWithRetries(t, daemons, 10_000, change)
}

// newStrandedFleetWithRetries does the same with so many retries that all daemons allow for.
func newStrandedFleetWithRetries(t *testing.T, daemons int, retries float64, change func(*standin.Upstream)) *strandedFleet {
	t.Helper()
	f := &strandedFleet{testFleet: newTestFleet(t), addresses: map[string]string{}}
	f.cuttable, f.retrySlack = true, retries
	f.configureRate(1, 1_000_000, "secret")
	for _, u := range []*standin.Upstream{
		{ID: "e1", Model: "m", Version: 1, EventCount: fleetEvents}, {ID: "e2", Model: "m", Version: 1, EventCount: fleetEvents}, {ID: "a1"}, {ID: "a2"},
	} {
		service := "app"
		if u.Model != "" {
			service = "llm"
		}
		if change != nil {
			change(u)
		}
		address := u.Start()
		t.Cleanup(u.Close)
		f.store.Put("keyed.servers", u.ID, u.Registration(service, address, "ready"))
		f.upstreams = append(f.upstreams, u)
		f.addresses[address] = u.ID
	}
	for i := range daemons {
		f.start(fmt.Sprint("d", i), nil)
	}
	f.ready(len(f.upstreams))
	return f
}

// to returns a condition of upstreamLink.set: upstreams whose ID has one of the prefixes.
func (f *strandedFleet) to(prefixes ...string) func(string) bool {
	return func(address string) bool {
		for _, p := range prefixes {
			if strings.HasPrefix(f.addresses[address], p) {
				return true
			}
		}
		return false
	}
}

func (f *strandedFleet) runs(id string) int {
	n := 0
	for _, u := range f.upstreams {
		for _, r := range u.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// answer is what a caller got; status 0 is a connection that was closed without an answer.
type answer struct {
	id, path string
	status   int
	body     string
	// signature is the upstream's.
	signature string
	cut       bool
	took      time.Duration
}

func (a *answer) served() bool {
	want := "answer of "
	if a.path == "/draft/x" || a.path == "/note/x" {
		want = events(1, fleetEvents, "\n")
	}
	return a.status == http.StatusOK && !a.cut && strings.HasPrefix(a.signature, "sig-") && strings.HasPrefix(a.body, want)
}

var lastRequest atomic.Int64

// try sends a request with an ID of its own and reads the answer.
func (f *strandedFleet) try(d *testDaemon, path string, headers ...string) answer {
	a := answer{id: fmt.Sprint("s", lastRequest.Add(1)), path: path, cut: true}
	started := time.Now()
	resp, err := http.DefaultClient.Do(f.request(f.t.Context(), d, path, a.id, "secret", "p",
		append(headers, modelHeader, "m", deadlineHeader, "2000")...))
	if err == nil {
		defer resp.Body.Close()
		var raw []byte
		raw, err = io.ReadAll(resp.Body)
		a.status, a.body, a.cut, a.signature = resp.StatusCode, string(raw), err != nil, resp.Header.Get(signatureKey)
	}
	a.took = time.Since(started)
	return a
}

// load sends requests to the daemons, to all routes in turn, for a time. It returns the answers of each daemon.
func (f *strandedFleet) load(d time.Duration, daemons ...*testDaemon) [][]answer {
	out := make([][]answer, len(daemons))
	var mu sync.Mutex
	var callers sync.WaitGroup
	for started, n := time.Now(), 0; time.Since(started) < d; n++ {
		for i, daemon := range daemons {
			callers.Go(func() {
				a := f.try(daemon, routePaths[n%len(routePaths)])
				mu.Lock()
				defer mu.Unlock()
				out[i] = append(out[i], a)
			})
		}
		time.Sleep(callerPause)
	}
	callers.Wait()
	return out
}

func servedOf(answers []answer) int {
	n := 0
	for i := range answers {
		if answers[i].served() {
			n++
		}
	}
	return n
}

// requireNoRepeat checks that no request of a route that must not be repeated ran twice.
func (f *strandedFleet) requireNoRepeat(answers []answer) {
	f.t.Helper()
	for _, a := range answers {
		if a.path == "/draft/x" || a.path == "/order/x" {
			require.LessOrEqual(f.t, f.runs(a.id), 1, "%+v", a)
		}
		if a.status == http.StatusServiceUnavailable {
			require.Zero(f.t, f.runs(a.id), "refused as not run: %+v", a)
		}
	}
}

// cutOff cuts a daemon off from upstreams that are refused, and waits until it answers requests of a route again.
func (f *strandedFleet) cutOff(d *testDaemon, path string) {
	f.t.Helper()
	d.link.set(linkResets, nil)
	f.eventually(func() bool { a := f.try(d, path); return a.served() }, "the daemon that was cut off serves no request")
}

// Guards against callers of a daemon that is cut off from upstreams being served far worse than those of its peers.
func TestDaemonCutOffFromUpstreamsServesThroughPeer(t *testing.T) {
	for name, c := range map[string]struct {
		state linkState
		cut   []string
	}{
		"hangs":                      {linkHangs, []string{"e", "a"}},
		"reset":                      {linkResets, []string{"e", "a"}},
		"new connections refused":    {linkRefuses, []string{"e", "a"}},
		"one service hangs":          {linkHangs, []string{"e"}},
		"some of each service hangs": {linkHangs, []string{"e1", "a1"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t, 3, nil)
			stranded := f.daemons[0]
			f.load(time.Second, f.daemons...)
			stranded.link.set(c.state, f.to(c.cut...))
			early := f.load(countedAfter, f.daemons...)
			late := f.load(countedAfter, f.daemons...)
			served, failed := servedOf(late[0]), 0
			for _, answers := range late {
				failed += len(answers) - servedOf(answers)
			}
			others := max(servedOf(late[1]), servedOf(late[2]))
			t.Logf("served %d of %d, at the others %d, failed %d; before that %d of %d", served, len(late[0]), others, failed,
				servedOf(early[0]), len(early[0]))
			require.GreaterOrEqual(t, 3*served, 2*others, "less than two thirds of what the others serve")
			require.LessOrEqual(t, failed, 10+3*len(late[0])/50)
			stranded.link.set(linkUp, nil)
			f.eventually(func() bool {
				for _, path := range routePaths {
					if a := f.try(stranded, path); !a.served() || !stranded.link.carried(a.id) {
						return false
					}
				}
				return true
			}, "requests don't go directly again")
			for i := range f.daemons {
				f.requireNoRepeat(early[i])
				f.requireNoRepeat(late[i])
			}
		})
	}
}

// Guards against sound streams that are cut, and open connections that go unused, as new connections to their upstream are refused.
func TestStreamOnOpenConnectionOutlivesRefusedConnections(t *testing.T) {
	f := newStrandedFleet(t, 1, func(u *standin.Upstream) { u.EventInterval = 250 * time.Millisecond })
	d := f.daemons[0]
	var streams sync.WaitGroup
	results := make([]answer, 8)
	for i := range results {
		streams.Go(func() { results[i] = f.try(d, "/note/x") })
	}
	f.eventually(func() bool { return len(f.upstreams[0].Runs())+len(f.upstreams[1].Runs()) == len(results) }, "not all streams run")
	d.link.set(linkRefuses, nil)
	for range 12 {
		streams.Go(func() { f.try(d, "/draft/x") })
	}
	streams.Wait()
	for _, a := range results {
		require.True(t, a.served(), "%+v", a)
		require.Equal(t, 1, f.runs(a.id))
	}
}

// Guards against requests that daemons pass on to each other in a circle, or refuse late, while all of them are cut off.
func TestRequestPassesThroughOnePeerAtMost(t *testing.T) {
	f := newStrandedFleet(t, 2, nil)
	var proxy peerProxy
	proxy.start(t, f.testFleet, f.daemons[1])
	f.daemons[0].link.set(linkResets, nil)
	f.eventually(func() bool { return proxy.arrivals(f.try(f.daemons[0], "/lookup/x").id) > 0 }, "no request is passed on to the proxy")
	f.daemons[1].link.set(linkResets, nil)
	f.load(time.Second, f.daemons...)
	for _, d := range f.daemons {
		for i := range 40 {
			a := f.try(d, routePaths[i%len(routePaths)])
			require.Equal(t, http.StatusServiceUnavailable, a.status, "%+v", a)
			require.Less(t, a.took, promptRefusal, "%+v", a)
			require.LessOrEqual(t, proxy.arrivals(a.id), 1, "the request came back: %+v", a)
			require.Zero(t, f.runs(a.id))
		}
	}
}

// Guards against an outage of the upstreams themselves that makes daemons pass requests around.
func TestOutageOfAllUpstreamsIsNoCutOff(t *testing.T) {
	f := newStrandedFleet(t, 3, nil)
	f.cutOff(f.daemons[0], "/lookup/x")
	for _, u := range f.upstreams {
		u.Close()
	}
	answers := f.load(time.Second, f.daemons...)
	for i, later := range f.load(time.Second, f.daemons...) {
		for _, a := range later {
			require.Equal(t, http.StatusServiceUnavailable, a.status, "%+v", a)
			require.Less(t, a.took, promptRefusal, "%+v", a)
		}
		f.requireNoRepeat(append(answers[i], later...))
	}
}

// Guards against an unsafe request that runs twice, or is said not to have run, as the peer that it was passed on to dies.
func TestUnsafeRequestIsNotRepeatedWhenPeerDies(t *testing.T) {
	contains := func(text string) func([]byte) bool {
		return func(b []byte) bool { return !bytes.Contains(b, []byte(text)) }
	}
	for name, proxy := range map[string]*peerProxy{
		"before it passes the request on": {onCall: contains("/order/x")},
		"after the request ran":           {onAnswer: contains("answer of")},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrandedFleet(t, 2, nil)
			proxy.start(t, f.testFleet, f.daemons[1])
			f.cutOff(f.daemons[0], "/draft/x")
			through := 0
			for range 40 {
				a := f.try(f.daemons[0], "/order/x")
				require.LessOrEqual(t, f.runs(a.id), 1, "%+v", a)
				if proxy.arrivals(a.id) == 0 {
					continue
				}
				through++
				require.Contains(t, []int{0, http.StatusBadGateway}, a.status, "%+v", a)
			}
			require.Positive(t, through, "no request was passed on to the proxy")
		})
	}
}

// Guards against a resumable stream that loses or repeats events as the peer that it was passed on to dies.
func TestStreamGoesOnThroughAnotherPeer(t *testing.T) {
	f := newStrandedFleet(t, 2, func(u *standin.Upstream) { u.EventInterval = 20 * time.Millisecond })
	var broken atomic.Int64
	proxy := peerProxy{onAnswer: func(b []byte) bool {
		if bytes.Contains(b, []byte("id: 3\n")) {
			broken.Add(1)
			return false
		}
		return true
	}}
	proxy.start(t, f.testFleet, f.daemons[1])
	f.daemons[0].link.set(linkResets, nil)
	f.eventually(func() bool {
		a := f.try(f.daemons[0], "/note/x")
		return broken.Load() > 0 || proxy.arrivals(a.id) > 0
	}, "no stream is passed on to the proxy")
	through := 0
	for range 40 {
		a := f.try(f.daemons[0], "/note/x")
		require.Equal(t, events(1, fleetEvents, "\n"), a.body, "%+v", a)
		require.True(t, a.served(), "%+v", a)
		if proxy.arrivals(a.id) > 0 {
			through++
		}
		require.LessOrEqual(t, f.runs(a.id), 2)
	}
	require.Positive(t, through, "no stream was passed on to the proxy")
	require.Positive(t, broken.Load())
}

// Guards against requests that count twice against their organisation's limit, at both daemons, or not at all.
func TestOrganisationsLimitCountsPassedRequestsOnce(t *testing.T) {
	const (
		// rate is in tokens a second, and far above the 27,500 tokens by which all daemons together may exceed it for a moment.
		rate, cost = 40_000, 2000
		period     = 5 * time.Second
		tolerance  = 0.2
	)
	for name, isCut := range map[string]bool{"sent directly": false, "passed on": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newStrandedFleet(t, 3, nil)
			f.configureRate(2, rate, "secret")
			f.eventually(func() bool { return f.daemons[0].configVersion() == 2 }, "the limit is not in force")
			if isCut {
				f.cutOff(f.daemons[0], "/lookup/x")
			}
			// The balance fills up.
			time.Sleep(2 * time.Second)
			var mu sync.Mutex
			statuses := map[int]int{}
			var callers sync.WaitGroup
			started := time.Now()
			for time.Since(started) < period {
				callers.Go(func() {
					a := f.try(f.daemons[0], "/lookup/x", "X-Gooseberryway-Token-Counts", "1500,500")
					mu.Lock()
					defer mu.Unlock()
					statuses[a.status]++
				})
				time.Sleep(callerPause / 2)
			}
			allowed := (rate + rate*time.Since(started).Seconds()) / cost
			callers.Wait()
			t.Logf("statuses %v, allowed %.0f", statuses, allowed)
			require.InDelta(t, allowed, statuses[http.StatusOK], tolerance*allowed)
			require.Positive(t, statuses[http.StatusTooManyRequests])
		})
	}
}

// Guards against a request that an upstream works on after its caller has left, as it was passed on.
func TestCallerThatLeavesEndsRequestAtPeer(t *testing.T) {
	for _, path := range []string{"/draft/x", "/note/x", "/order/x"} {
		t.Run(path, func(t *testing.T) {
			began, ended := make(chan struct{}, 8), make(chan struct{}, 8)
			f := newStrandedFleet(t, 2, func(u *standin.Upstream) {
				u.Intercept = func(w http.ResponseWriter, r *http.Request) bool {
					if r.Header.Get(requestIDKey) != "leaves" {
						return false
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if u.Model != "" {
						w.Header().Set(requestIDKey, "leaves")
						w.Header().Set(signatureKey, "sig")
						w.Header().Set("Content-Type", "text/event-stream")
						_, _ = io.WriteString(w, events(1, 1, "\n"))
						_ = http.NewResponseController(w).Flush()
					}
					began <- struct{}{}
					<-r.Context().Done()
					ended <- struct{}{}
					return true
				}
			})
			f.cutOff(f.daemons[0], path)
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			gone := make(chan struct{})
			go func() {
				defer close(gone)
				resp, err := http.DefaultClient.Do(f.request(ctx, f.daemons[0], path, "leaves", "secret", "p", modelHeader, "m"))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}()
			f.eventually(func() bool { return len(began) > 0 }, "the request does not run")
			leave()
			select {
			case <-ended:
			case <-time.After(promptRefusal):
				t.Error("the upstream still runs the request")
			}
			<-gone
		})
	}
}
