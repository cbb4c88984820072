package openai

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against parameters that are lost, duplicated or passed on twice because the scan without decoding and the
// JSON decoder treat escaped, repeated or differently cased names differently.
func TestOtherParametersScannedAndDecodedAlike(t *testing.T) {
	for body, want := range map[string]string{
		`{"model":"m"}`:                                       ``,
		`{"top_p":1, "temperature" : 0.5,"N":1}`:              `{"temperature":0.5,"top_p":1}`,
		`{"stop":["a\n","}"],"x":{"model":1}}`:                `{"stop":["a\n","}"],"x":{"model":1}}`,
		`{"a":1,"a":2}`:                                       `{"a":2}`,
		`{"\u0061":1,"mod\u0065l":"m","\u017feed":1}`:         `{"a":1}`,
		`{"a":1,"\u0061":2}`:                                  `{"a":2}`,
		`{"naïve":"<é>","":null}`:                             `{"naïve":"<é>","":null}`,
		" {\n\"user\" :\t\"x\",\"logit_bias\":{\"5\":-1e2}} ": `{"logit_bias":{"5":-1e2},"user":"x"}`,
	} {
		decoded, err := decodeParameters([]byte(body))
		require.NoError(t, err)
		scanned, err := otherParameters([]byte(body))
		require.NoError(t, err)
		if want == "" {
			require.Empty(t, decoded)
			require.Empty(t, scanned)
			continue
		}
		require.JSONEq(t, want, string(decoded))
		require.JSONEq(t, want, string(scanned))
	}
}

// FuzzParameters checks that otherParameters returns the parameters that decodeParameters returns.
func FuzzParameters(f *testing.F) {
	f.Add([]byte(`{"top_p":1, "temperature" : 0.5,"N":1}`))
	f.Add([]byte(`{"a":1,"\u0061":{"b":[]}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		if !json.Valid(body) {
			return
		}
		want, errWant := decodeParameters(body)
		got, err := otherParameters(body)
		require.Equal(t, errWant == nil, err == nil)
		require.Equal(t, len(want) == 0, len(got) == 0)
		if len(want) == 0 {
			return
		}
		redecoded, err := decodeParameters(got)
		require.NoError(t, err)
		require.Equal(t, string(want), string(redecoded))
	})
}
