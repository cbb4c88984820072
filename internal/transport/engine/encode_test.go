package engine

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

func TestSamplingParametersAreForwarded(t *testing.T) {
	req := extern.EngineRequest{
		Request: "r1", Organisation: "survey", Model: "m", Version: "v1", Prompt: []byte("p"), MaxTokens: 5,
		Sampling: []byte(`{"temperature":0.5,"stop":["\n","}"],"logit_bias":{"a":1}}`),
	}
	body, err := encodeRequest(&req)
	require.NoError(t, err)
	require.JSONEq(t, `{"model":"m","prompt":"p","max_tokens":5,"seed":0,"stream":true,"requestId":"r1","cacheSalt":"survey",
		"version":"v1","temperature":0.5,"stop":["\n","}"],"logit_bias":{"a":1}}`, string(body))
	for _, bad := range []string{`[]`, `{`, `1`, `{"a":1}}`} {
		req.Sampling = []byte(bad)
		_, err = encodeRequest(&req)
		require.Error(t, err, bad)
	}
}

// A caller that could set the cache salt in its sampling parameters would read the cached prefixes of another organisation,
// so reserved fields are dropped in every spelling.
func TestSamplingParametersCannotSetReservedFields(t *testing.T) {
	req := extern.EngineRequest{Request: "r1", Organisation: "survey", Model: "m", Version: "v1", MaxTokens: 5}
	want, err := encodeRequest(&req)
	require.NoError(t, err)
	req.Sampling = []byte(`{"cacheSalt":"audit","cache_salt":"audit","CACHESALT":"audit","cache\u0053alt":"audit","cacheſalt":"audit",
		"version":"v9","Priority":-5,"resumeFrom":3,"importBlocks":9,"request_id":"r2","adapter":"x","max_tokens":1000000}`)
	got, err := encodeRequest(&req)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}

// FuzzEncodeRequest checks that with any sampling parameters the body is valid JSON and the reserved fields keep their
// values.
func FuzzEncodeRequest(f *testing.F) {
	f.Add([]byte(`{"temperature":1}`))
	f.Add([]byte(`{"cacheSalt":"x","cacheſalt":1}`))
	f.Add([]byte(`{"a":{"cacheSalt":"x"}}`))
	f.Add([]byte(`{"\u212a":1} `))
	f.Fuzz(func(t *testing.T, sampling []byte) {
		req := extern.EngineRequest{Request: "r1", Organisation: "survey", Model: "m", Version: "v1", MaxTokens: 5, Sampling: sampling}
		body, err := encodeRequest(&req)
		if err != nil {
			return
		}
		var got Request
		require.NoError(t, json.Unmarshal(body, &got))
		require.Equal(t, *newRequest(&req), got)
	})
}
