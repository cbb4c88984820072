package local

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/program/client"
	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
)

// callBookings sends a request to the plain service, with the headers that are not empty, and returns the status and the
// body of the response.
func callBookings(t *testing.T, method, path, key, idempotencyKey, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+testSystem.Addresses()[0]+path, strings.NewReader(body))
	require.NoError(t, err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if idempotencyKey != "" {
		r.Header.Set("Idempotency-Key", idempotencyKey)
	}
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(raw)
}

// A caller that repeats a request with its idempotency key must not cause a second run at the plain service. The same key
// with another body is an error.
func TestRepeatedPlainRequestGetsStoredResponse(t *testing.T) {
	key := testSystem.Keys["survey"]
	var first string
	require.Eventually(t, func() bool {
		status, body := callBookings(t, http.MethodPost, "/bookings/visits", key, "visit-1", "mirror at noon")
		first = body
		return status == http.StatusOK
	}, 30*time.Second, 100*time.Millisecond)
	runs := bookings.Stats().Requests
	for range 3 {
		status, body := callBookings(t, http.MethodPost, "/bookings/visits", key, "visit-1", "mirror at noon")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, first, body)
	}
	require.Equal(t, runs, bookings.Stats().Requests, "repeats do not reach the service")

	status, _ := callBookings(t, http.MethodPost, "/bookings/visits", key, "visit-1", "another booking")
	require.Equal(t, http.StatusUnprocessableEntity, status)
}

// Guards against several runs of a request that arrives many times at once, before a response is stored.
func TestConcurrentRequestsWithOneIdempotencyKeyRunOnce(t *testing.T) {
	before := bookings.Stats().Requests
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			callBookings(t, http.MethodPost, "/bookings/visits", testSystem.Keys["survey"], "visit-2", "mirror")
		})
	}
	wg.Wait()
	require.LessOrEqual(t, bookings.Stats().Requests-before, 1)
}

// Guards against routes that serve callers without a key although they are not open, or callers of another team.
func TestOnlyOpenRoutesAcceptRequestsWithoutKey(t *testing.T) {
	status, _ := callBookings(t, http.MethodGet, "/open/hours", "", "", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = callBookings(t, http.MethodGet, "/bookings/hours", "", "", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = callBookings(t, http.MethodGet, "/bookings/hours", testSystem.Keys["small"], "", "")
	require.Equal(t, http.StatusNotFound, status, "the route of another team")
}

// A repeated completion must get the stored text and must not run again on an engine.
func TestRepeatedCompletionGetsStoredResponse(t *testing.T) {
	c := newClient(t, testSystem.Keys["survey"])
	req := newRequest("keep this")
	req.IdempotencyKey = rand.Text()
	first, err := c.Complete(t.Context(), req)
	require.NoError(t, err)
	again, err := c.Complete(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, first.Text, again.Text)
	require.Empty(t, again.Version, "no version served the repeat")
}

// Guards against daemons that keep accepting a withdrawn key because they missed the change or cached the key.
func TestAllDaemonsRejectWithdrawnKeyWithinFiveSeconds(t *testing.T) {
	admin := newAdmin()
	var created client.Change
	id := strings.ToLower(rand.Text())
	require.NoError(t, admin.Post(t.Context(), "/keys", map[string]string{"id": id, "organisation": "survey"}, &created))
	accepts := func(addr string) bool {
		c := &client.Client{Seeds: []string{addr}, Key: created.Secret}
		defer c.Close()
		_, err := c.Complete(t.Context(), newRequest("key"))
		return err == nil
	}
	for _, addr := range testSystem.Addresses() {
		require.Eventually(t, func() bool { return accepts(addr) }, 30*time.Second, 50*time.Millisecond)
	}
	require.NoError(t, admin.Post(t.Context(), "/keys/"+id+"/withdraw", nil, nil))
	for _, addr := range testSystem.Addresses() {
		require.Eventually(t, func() bool { return !accepts(addr) }, 5*time.Second, 50*time.Millisecond)
	}
	for _, addr := range testSystem.Addresses() {
		require.False(t, accepts(addr), "the key stays withdrawn")
	}
}

// A daemon that shuts down while callers still have its address must complete its running requests, and callers must be
// able to repeat at another daemon what it refuses.
func TestGracefulShutdownInterruptsNoRequest(t *testing.T) {
	c := newClient(t, testSystem.Keys["survey"])
	var wg sync.WaitGroup
	stop := make(chan struct{})
	errs := make(chan error, 1000)
	for sender := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				req := newRequest(fmt.Sprintf("shutdown %d.%d", sender, i))
				req.MaxTokens = 40
				answer, err := c.Complete(t.Context(), req)
				if err == nil && answer.Text != ExpectedText(req, answer.Version) {
					err = &client.TruncatedStreamError{}
				}
				if err != nil {
					errs <- err
				}
			}
		})
	}
	require.NoError(t, testSystem.StopDaemon(2))
	testSystem.StartDaemon(2)
	require.NoError(t, testSystem.WaitReady(t.Context()))
	close(stop)
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

// Guards against callers' keys that are forwarded to engines, where they could leak.
func TestUpstreamsReceiveNoCallerKey(t *testing.T) {
	for _, e := range testSystem.EngineList() {
		e.WatchCallerKeys([]string{testSystem.Keys["survey"]})
	}
	c := newClient(t, testSystem.Keys["survey"])
	for range 5 {
		_, err := c.Complete(t.Context(), newRequest("secret"))
		require.NoError(t, err)
	}
	callBookings(t, http.MethodGet, "/bookings/hours", testSystem.Keys["survey"], "", "")
	for _, e := range testSystem.EngineList() {
		require.Zero(t, e.Stats().CallerKeysSeen)
	}
}

// Guards against engines that keep generating tokens for a caller that has closed its connection.
func TestCallerDisconnectCancelsCompletion(t *testing.T) {
	cancelled := func() int {
		n := 0
		for _, e := range testSystem.EngineList() {
			n += e.Stats().Cancelled
		}
		return n
	}
	requests := func() int {
		n := 0
		for _, e := range testSystem.EngineList() {
			n += e.Stats().Requests
		}
		return n
	}
	c := newClient(t, testSystem.Keys["survey"])
	_, err := c.Complete(t.Context(), newRequest("the organisation has tokens"))
	require.NoError(t, err)
	cancelledBefore, requestsBefore := cancelled(), requests()
	ctx := fakes.ExpireWhen(t.Context(), func() bool { return requests() > requestsBefore })
	req := newRequest("a long answer")
	req.MaxTokens = 5000
	_, err = c.Complete(ctx, req)
	require.Error(t, err)
	require.Eventually(t, func() bool { return cancelled() > cancelledBefore }, 30*time.Second, 20*time.Millisecond)
}

// Guards against a body that a plain service has cut and that looks complete to the caller.
func TestCutBodyOfPlainServiceNeverLooksWhole(t *testing.T) {
	bookings.SetFaults(plain.Faults{Truncated: 1})
	t.Cleanup(func() { bookings.SetFaults(plain.Faults{}) })
	effects := bookings.Stats().Effects
	for range 20 {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+testSystem.Addresses()[0]+"/open/visits", strings.NewReader("mirror at noon"))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		require.True(t, err != nil || resp.StatusCode != http.StatusOK, "the response looks complete")
	}
	require.Equal(t, effects+20, bookings.Stats().Effects)
}
