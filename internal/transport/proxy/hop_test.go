package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHopOutlivesItsHeader(t *testing.T) {
	sent := &hop{from: "d1", service: "s", arrivals: 1, runsLeft: 2, budgeted: true, charged: true, connection: "close"}
	value, err := sent.encode()
	require.NoError(t, err)
	got, err := decodeHop(value)
	require.NoError(t, err)
	require.Equal(t, sent, got)
	require.EqualValues(t, "d1", got.sender())
	require.Empty(t, (*hop)(nil).sender())
}

// Guards against running a request of which it isn't known how often it may run.
func TestPassedRequestWithoutReadableHopIsRefused(t *testing.T) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
	r.Header.Set(hopHeader, "!")
	require.True(t, IsPassed(r))
	(&Handler{}).ServePassed(w, r)
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.Empty(t, w.Header().Get(hopOutcomeHeader), "the peer must not take it for a refusal")
}

func FuzzDecodeHop(f *testing.F) {
	value, err := (&hop{from: "d1", service: "s", arrivals: 1, runsLeft: 2}).encode()
	require.NoError(f, err)
	f.Add(value)
	f.Fuzz(func(t *testing.T, value string) {
		h, err := decodeHop(value)
		if err != nil {
			return
		}
		again, err := h.encode()
		require.NoError(t, err)
		back, err := decodeHop(again)
		require.NoError(t, err)
		require.Equal(t, h, back)
	})
}
