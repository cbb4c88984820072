package engine_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/engine"
	"github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/standin/plain"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	adapter "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// postControl posts a control message and returns the HTTP status of the response.
func postControl(t *testing.T, url, body string) int {
	t.Helper()
	resp, err := http.Post(url+"/standin/control", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// TestControlOfTheEngine sets callers' keys, leaving and faults of an engine over HTTP, then crashes it by calls. After a
// crash the engine has a new incarnation and serves again once its downtime is over.
func TestControlOfTheEngine(t *testing.T) {
	e := &engine.Engine{Settings: engine.Settings{ID: "e1", Model: "m", Versions: []ident.VersionID{"v1"}, TimeScale: 0.01}}
	require.NoError(t, e.Start(t.Context()))
	c := &adapter.Client{Credential: func(string) string { return "caller-key" }}
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, e.Close())
	})
	complete := func() error {
		s, err := c.Complete(t.Context(), "e1", e.URL(), extern.EngineRequest{Request: "r", Model: "m", Version: "v1", MaxTokens: 1})
		if err != nil {
			return err
		}
		_, err = s.Next()
		require.NoError(t, s.Close())
		return err
	}
	require.Equal(t, http.StatusNoContent, postControl(t, e.URL(), `{"callerKeys":["caller-key"],"leaveMs":0}`))
	require.NoError(t, complete())
	require.Equal(t, 1, e.Stats().CallerKeysSeen)
	require.Equal(t, 1, e.Stats().WorkAfterLeaving)
	require.Equal(t, http.StatusNoContent, postControl(t, e.URL(), `{"behaviours":{"v1":{"errors":1}}}`))
	require.Error(t, complete())
	require.Equal(t, http.StatusNoContent, postControl(t, e.URL(), `{"behaviours":{"v1":{}},"faults":{"errors":1}}`))
	require.Error(t, complete())
	require.Equal(t, http.StatusNoContent, postControl(t, e.URL(), `{"faults":{}}`))
	require.NoError(t, complete())
	require.Equal(t, http.StatusBadRequest, postControl(t, e.URL(), `{"faults":[]}`))

	e.Crash(24 * time.Hour)
	require.Error(t, complete())
	require.Equal(t, ident.Incarnation(2), e.Stats().Incarnation)
	e.Crash(10 * time.Second)
	require.Eventually(t, func() bool { return complete() == nil }, 30*time.Second, 5*time.Millisecond, "the engine serves again after its downtime")
	require.Equal(t, ident.Incarnation(3), e.Stats().Incarnation)
}

// TestControlOfTheLogService switches the log service between its faults, among them refusing connections for a time.
func TestControlOfTheLogService(t *testing.T) {
	s := &logsvc.Service{}
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	require.Equal(t, http.StatusNoContent, postControl(t, s.URL(), `{"lostAnswers":0.5}`))
	require.InDelta(t, 0.5, s.Faults().LostResponses, 0)
	require.Equal(t, http.StatusBadRequest, postControl(t, s.URL(), `{"lostAnswers":"x"}`))
	require.Equal(t, http.StatusAccepted, postControl(t, s.URL(), `{"mode":"refusing"}`))
	awaitFaultChanges(t, s, 2)
	_, err := http.Get(s.URL() + "/standin/stats")
	require.Error(t, err)
	require.NoError(t, s.SetFaults(logsvc.Faults{}))
	require.Equal(t, http.StatusAccepted, postControl(t, s.URL(), `{"mode":"refusing","forMs":20}`))
	awaitFaultChanges(t, s, 5)
	resp, err := http.Get(s.URL() + "/standin/stats")
	require.NoError(t, err, "the log service listens again")
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusNoContent, postControl(t, s.URL(), `{}`))
}

// awaitFaultChanges waits until n changes of faults have taken effect. The response 202 is sent before its change is made.
func awaitFaultChanges(t *testing.T, s *logsvc.Service, n int) {
	t.Helper()
	require.Eventually(t, func() bool { return s.Stats().FaultChanges == n }, 30*time.Second, time.Millisecond)
}

func TestControlOfAPlainService(t *testing.T) {
	s := &plain.Service{}
	require.NoError(t, s.Start(t.Context()))
	t.Cleanup(func() { require.NoError(t, s.Close()) })
	require.Equal(t, http.StatusNoContent, postControl(t, s.URL(), `{"faults":{"refused":1},"callerKeys":["k1"],"leaveMs":0}`))
	resp, err := http.Get(s.URL() + "/visits?key=k1")
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	require.Equal(t, plain.Stats{Requests: 1, Refused: 1, CallerKeysSeen: 1, WorkAfterLeaving: 1}, s.Stats())
}
