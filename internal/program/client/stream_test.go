package client

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against incomplete or broken streams that are taken for complete responses.
func TestReadStream(t *testing.T) {
	const completeEvents = "data: {\"choices\":[{\"delta\":{\"content\":\"two \"}}]}\n\n" +
		"data: {\"choices\":[{\"delta\":{\"content\":\"mirrors\"},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n"
	response, err := readStream(strings.NewReader(completeEvents+"data: [DONE]\n\n"), time.Now())
	require.NoError(t, err)
	require.Equal(t, "two mirrors", response.Text)
	require.Equal(t, "stop", response.FinishReason)

	for name, tc := range map[string]string{
		"without end mark": completeEvents,
		"unreadable":       "data: {\n\ndata: [DONE]\n\n",
	} {
		_, err = readStream(strings.NewReader(tc), time.Now())
		var truncated *TruncatedStreamError
		require.ErrorAs(t, err, &truncated, name)
	}
	_, err = readStream(strings.NewReader("data: {\"error\":{\"code\":\"streamBroken\"}}\n\ndata: [DONE]\n\n"), time.Now())
	var apiErr *APIError
	require.ErrorAs(t, err, &apiErr)
	require.True(t, apiErr.InStream)
}

// FuzzReadStream checks that a stream without an end mark never gives a response, and that every error is typed.
func FuzzReadStream(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"error\":{\"code\":\"x\"}}\n\n")
	f.Add(": comment\ndata: {\"choices\":[{}],\"usage\":null}\n")
	f.Fuzz(func(t *testing.T, raw string) {
		response, err := readStream(strings.NewReader(raw), time.Now())
		var truncated *TruncatedStreamError
		var apiErr *APIError
		if err != nil && !errors.As(err, &truncated) && !errors.As(err, &apiErr) {
			t.Fatalf("untyped error %T", err)
		}
		if err == nil && (response == nil || !strings.Contains(raw, endMark)) {
			t.Fatal("a stream without end mark was taken for a complete response")
		}
	})
}
