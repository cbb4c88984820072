package logsvc_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/standin/fakes"
	standin "github.com/gooseberryway/gooseberryway/internal/standin/logsvc"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
	"github.com/gooseberryway/gooseberryway/internal/transport/logsvc"
)

func startClient(t *testing.T, s *standin.Service) *logsvc.Client {
	t.Helper()
	require.NoError(t, s.Start(t.Context()))
	c := &logsvc.Client{BaseURL: s.URL()}
	t.Cleanup(func() {
		require.NoError(t, c.Close())
		require.NoError(t, s.Close())
	})
	return c
}

func errorKind(t *testing.T, err error) extern.LogErrorKind {
	t.Helper()
	var logErr *extern.LogError
	require.ErrorAs(t, err, &logErr)
	return logErr.Kind
}

func TestAppendAndRead(t *testing.T) {
	c := startClient(t, &standin.Service{})
	empty, err := c.Read(t.Context(), extern.StreamControl, 1, 10)
	require.NoError(t, err)
	require.Equal(t, extern.LogBatch{}, empty)

	for i := range 5 {
		offset, errAppend := c.Append(t.Context(), extern.StreamControl, fmt.Appendf(nil, "record %d", i+1))
		require.NoError(t, errAppend)
		require.Equal(t, ident.Offset(i+1), offset)
	}
	batch, err := c.Read(t.Context(), extern.StreamControl, 2, 3)
	require.NoError(t, err)
	require.Equal(t, extern.LogBatch{
		Entries: []extern.LogEntry{
			{Offset: 2, Payload: []byte("record 2")},
			{Offset: 3, Payload: []byte("record 3")},
			{Offset: 4, Payload: []byte("record 4")},
		},
		First: 1, Tail: 5,
	}, batch)
	beyond, err := c.Read(t.Context(), extern.StreamControl, 6, 3)
	require.NoError(t, err)
	require.Equal(t, extern.LogBatch{First: 1, Tail: 5}, beyond)
}

func TestReadBelowRetainedRecordsIsExpired(t *testing.T) {
	c := startClient(t, &standin.Service{MaxRecords: 2})
	for range 4 {
		_, err := c.Append(t.Context(), extern.StreamControl, nil)
		require.NoError(t, err)
	}
	_, err := c.Read(t.Context(), extern.StreamControl, 2, 10)
	require.Equal(t, extern.LogExpired, errorKind(t, err))
	batch, err := c.Read(t.Context(), extern.StreamControl, 3, 10)
	require.NoError(t, err)
	require.Equal(t, ident.Offset(3), batch.First)
}

func callIsHanging(s *standin.Service) bool { return s.Stats().Failed > 0 }

func recordIsAppended(s *standin.Service) bool { return s.Stats().Appends > 0 }

// An append that may have taken effect must not be reported as refused, or the writer would report it as never
// appended. After each fault the client must work again.
func TestAppendErrorKinds(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		// expireWhen reports that the service has received the call; the context of the call then expires. If it is nil,
		// the context does not expire.
		expireWhen func(*standin.Service) bool
		kind       extern.LogErrorKind
		appends    int
	}{
		"failing":       {faults: standin.Faults{Mode: standin.ModeFailing}, kind: extern.LogUnknown},
		"refusing":      {faults: standin.Faults{Mode: standin.ModeRefusing}, kind: extern.LogRefused},
		"hanging":       {faults: standin.Faults{Mode: standin.ModeHanging}, expireWhen: callIsHanging, kind: extern.LogUnknown},
		"lost response": {faults: standin.Faults{LostResponses: 1}, kind: extern.LogUnknown, appends: 1},
		"late append":   {faults: standin.Faults{Late: 1, LateBy: 30 * time.Millisecond}, kind: extern.LogUnknown, appends: 1},
		"slow":          {faults: standin.Faults{Delay: time.Second}, expireWhen: recordIsAppended, kind: extern.LogUnknown, appends: 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := &standin.Service{}
			c := startClient(t, s)
			c.Timeout = time.Minute
			require.NoError(t, s.SetFaults(tc.faults))
			ctx := t.Context()
			if tc.expireWhen != nil {
				ctx = fakes.ExpireWhen(ctx, func() bool { return tc.expireWhen(s) })
			}
			_, err := c.Append(ctx, extern.StreamControl, []byte("x"))
			require.Equal(t, tc.kind, errorKind(t, err), "%v", err)
			require.Eventually(t, func() bool { return s.Stats().Appends == tc.appends }, 30*time.Second, time.Millisecond)

			require.NoError(t, s.SetFaults(standin.Faults{}))
			_, err = c.Append(t.Context(), extern.StreamControl, []byte("y"))
			require.NoError(t, err, "after the outage")
		})
	}
}

func TestRateLimitedAppendIsRefused(t *testing.T) {
	s := &standin.Service{AppendsPerSecond: 3}
	c := startClient(t, s)
	refused := 0
	for range 10 {
		_, err := c.Append(t.Context(), extern.StreamControl, nil)
		if err == nil {
			continue
		}
		var rate *httpc.StatusError
		require.Equal(t, extern.LogRefused, errorKind(t, err))
		require.True(t, errors.As(err, &rate) && rate.Status == 429)
		refused++
	}
	require.Positive(t, refused)
	require.Equal(t, 10-refused, s.Stats().Appends)
}

func TestAppendCancelledBeforeSendingIsRefused(t *testing.T) {
	s := &standin.Service{}
	c := startClient(t, s)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Append(ctx, extern.StreamControl, nil)
	require.Equal(t, extern.LogRefused, errorKind(t, err))
	require.Zero(t, s.Stats().Appends)
}
