package caller

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/coordination/serve"
	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/transport/plain"
)

// Guards against a caller that is told to retry a call whose own body is the fault.
func TestFaultOfCallersBodyIsNotUpstreams(t *testing.T) {
	unread := &plain.BodyReadError{Err: errors.New("reset")}
	for name, c := range map[string]struct {
		err  error
		code serve.Code
		run  serve.RunStatus
	}{
		"too large":                {&plain.BodyTooLargeError{LimitBytes: 8}, serve.CodeBodyTooLarge, serve.NotRun},
		"too large, partly sent":   {&extern.UpstreamError{Err: fmt.Errorf("send: %w", &plain.BodyTooLargeError{LimitBytes: 8})}, serve.CodeBodyTooLarge, serve.MayHaveRun},
		"can't be read":            {unread, serve.CodeInvalidRequest, serve.NotRun},
		"can't be read, part sent": {&extern.UpstreamError{Err: unread}, serve.CodeInvalidRequest, serve.MayHaveRun},
		"no upstream":              {errors.New("none"), serve.CodeNoUpstream, serve.NotRun},
	} {
		t.Run(name, func(t *testing.T) {
			got := plainError(t.Context(), c.err)
			require.Equal(t, c.code, got.Code)
			require.Equal(t, c.run, got.RunStatus)
		})
	}
}
