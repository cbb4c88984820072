package client

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestReadStream(t *testing.T) {
	const whole = "data: {\"choices\":[{\"delta\":{\"content\":\"two \"}}]}\n\n" +
		"data: {\"choices\":[{\"delta\":{\"content\":\"mirrors\"},\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":2}}\n\n"
	answer, err := readStream(strings.NewReader(whole+"data: [DONE]\n\n"), time.Now())
	require.NoError(t, err)
	require.Equal(t, "two mirrors", answer.Text)
	require.Equal(t, "stop", answer.FinishReason)

	for name, tc := range map[string]string{
		"without an end": whole,
		"unreadable":     "data: {\n\ndata: [DONE]\n\n",
	} {
		_, err = readStream(strings.NewReader(tc), time.Now())
		var cut *TruncatedStreamError
		require.ErrorAs(t, err, &cut, name)
	}
	_, err = readStream(strings.NewReader("data: {\"error\":{\"code\":\"streamBroken\"}}\n\ndata: [DONE]\n\n"), time.Now())
	var failed *APIError
	require.ErrorAs(t, err, &failed)
	require.True(t, failed.InStream)
}

// FuzzReadStream checks that only a stream with an end mark is a whole answer.
func FuzzReadStream(f *testing.F) {
	f.Add("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\ndata: [DONE]\n\n")
	f.Add("data: {\"error\":{\"code\":\"x\"}}\n\n")
	f.Add(": comment\ndata: {\"choices\":[{}],\"usage\":null}\n")
	f.Fuzz(func(t *testing.T, raw string) {
		answer, err := readStream(strings.NewReader(raw), time.Now())
		var cut *TruncatedStreamError
		var failed *APIError
		if err != nil && !errors.As(err, &cut) && !errors.As(err, &failed) {
			t.Fatalf("untyped error %T", err)
		}
		if err == nil && (answer == nil || !strings.Contains(raw, endMark)) {
			t.Fatal("a stream without an end is taken for a whole answer")
		}
	})
}
