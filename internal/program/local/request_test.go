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
)

// book calls the plain service and returns the status and the body.
func book(t *testing.T, method, path, key, idempotencyKey, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+shared.Addresses()[0]+path, strings.NewReader(body))
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

func TestARepeatedCallGetsTheKeptAnswer(t *testing.T) {
	key := shared.Keys["survey"]
	var first string
	require.Eventually(t, func() bool {
		status, body := book(t, http.MethodPost, "/bookings/visits", key, "visit-1", "mirror at noon")
		first = body
		return status == http.StatusOK
	}, 30*time.Second, 100*time.Millisecond)
	runs := bookings.Stats().Requests
	for range 3 {
		status, body := book(t, http.MethodPost, "/bookings/visits", key, "visit-1", "mirror at noon")
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, first, body)
	}
	require.Equal(t, runs, bookings.Stats().Requests, "repeats do not reach the service")

	status, _ := book(t, http.MethodPost, "/bookings/visits", key, "visit-1", "another booking")
	require.Equal(t, http.StatusUnprocessableEntity, status)
}

func TestOfManyCallsWithOneIdempotencyKeyOneRuns(t *testing.T) {
	before := bookings.Stats().Requests
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() { book(t, http.MethodPost, "/bookings/visits", shared.Keys["survey"], "visit-2", "mirror") })
	}
	wg.Wait()
	require.LessOrEqual(t, bookings.Stats().Requests-before, 1)
}

func TestOnlyOpenRoutesTakeCallsWithoutAKey(t *testing.T) {
	status, _ := book(t, http.MethodGet, "/open/hours", "", "", "")
	require.Equal(t, http.StatusOK, status)
	status, _ = book(t, http.MethodGet, "/bookings/hours", "", "", "")
	require.Equal(t, http.StatusUnauthorized, status)
	status, _ = book(t, http.MethodGet, "/bookings/hours", shared.Keys["small"], "", "")
	require.Equal(t, http.StatusNotFound, status, "the route of another team")
}

func TestRepeatedCompletionsGetTheKeptAnswer(t *testing.T) {
	c := newClient(t, shared.Keys["survey"])
	req := request("keep this")
	req.IdempotencyKey = rand.Text()
	first, err := c.Complete(t.Context(), req)
	require.NoError(t, err)
	again, err := c.Complete(t.Context(), req)
	require.NoError(t, err)
	require.Equal(t, first.Text, again.Text)
	require.Empty(t, again.Version, "no version served the repeat")
}

func TestAWithdrawnKeyStopsOnAllDaemonsWithinFiveSeconds(t *testing.T) {
	admin := newAdmin()
	var created client.Change
	id := strings.ToLower(rand.Text())
	require.NoError(t, admin.Post(t.Context(), "/keys", map[string]string{"id": id, "organisation": "survey"}, &created))
	works := func(addr string) bool {
		c := &client.Client{Seeds: []string{addr}, Key: created.Secret}
		defer c.Close()
		_, err := c.Complete(t.Context(), request("key"))
		return err == nil
	}
	for _, addr := range shared.Addresses() {
		require.Eventually(t, func() bool { return works(addr) }, 30*time.Second, 50*time.Millisecond)
	}
	require.NoError(t, admin.Post(t.Context(), "/keys/"+id+"/withdraw", nil, nil))
	for _, addr := range shared.Addresses() {
		require.Eventually(t, func() bool { return !works(addr) }, 5*time.Second, 50*time.Millisecond)
	}
	for _, addr := range shared.Addresses() {
		require.False(t, works(addr), "it stays withdrawn")
	}
}

func TestAGracefulShutdownCutsNoRequest(t *testing.T) {
	c := newClient(t, shared.Keys["survey"])
	var wg sync.WaitGroup
	stop := make(chan struct{})
	errs := make(chan error, 1000)
	for worker := range 6 {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				req := request(fmt.Sprintf("shutdown %d.%d", worker, i))
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
	require.NoError(t, shared.StopDaemon(2))
	shared.StartDaemon(2)
	require.NoError(t, shared.WaitReady(t.Context()))
	close(stop)
	wg.Wait()
	close(errs)
	for err := range errs {
		require.NoError(t, err)
	}
}

func TestNoUpstreamSeesACallersKey(t *testing.T) {
	for _, e := range shared.EngineList() {
		e.WatchCallerKeys([]string{shared.Keys["survey"]})
	}
	c := newClient(t, shared.Keys["survey"])
	for range 5 {
		_, err := c.Complete(t.Context(), request("secret"))
		require.NoError(t, err)
	}
	book(t, http.MethodGet, "/bookings/hours", shared.Keys["survey"], "", "")
	for _, e := range shared.EngineList() {
		require.Zero(t, e.Stats().CallerKeysSeen)
	}
}

func TestACallerThatGoesCancelsItsAnswer(t *testing.T) {
	cancelled := func() int {
		n := 0
		for _, e := range shared.EngineList() {
			n += e.Stats().Cancelled
		}
		return n
	}
	requests := func() int {
		n := 0
		for _, e := range shared.EngineList() {
			n += e.Stats().Requests
		}
		return n
	}
	c := newClient(t, shared.Keys["survey"])
	_, err := c.Complete(t.Context(), request("the organisation has tokens"))
	require.NoError(t, err)
	before, asked := cancelled(), requests()
	ctx := fakes.ExpireWhen(t.Context(), func() bool { return requests() > asked })
	req := request("a long answer")
	req.MaxTokens = 5000
	_, err = c.Complete(ctx, req)
	require.Error(t, err)
	require.Eventually(t, func() bool { return cancelled() > before }, 30*time.Second, 20*time.Millisecond)
}
