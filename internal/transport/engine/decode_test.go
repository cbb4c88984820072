package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"testing"
	"unicode/utf8"

	"github.com/stretchr/testify/require"
)

var chunkSeeds = []string{
	`{"id":"r1","choices":[{"index":0,"text":" \\"a\\u00e4\\n"}],"tokenIndex":3,"tokenCount":2}`,
	`{"id":"r1","choices":[{"text":"","finish_reason":"stop"}],"usage":{"prompt_tokens":5,"completion_tokens":7,"cachedTokens":4}}`,
	`{"id":"r1","choices":[{"text":"x","finish_reason":null}],"usage":null}`,
	`{"id":"r1","choices":[]}`, `{"id":"r1","choices":[{},{}]}`, `{"id":"r1","choices":{"text":"x"}}`,
	`[]`, `{`, `null`, `"x"`, ``, `{"id":5}`, `{"tokenIndex":-1,"choices":[{}]}`, `{"tokenIndex":1e3,"choices":[{}]}`,
}

// decodeChunk parses by hand, so its result must agree with the type that engines encode.
func TestDecodeChunkMatchesEncodedChunk(t *testing.T) {
	for _, text := range []string{" \"quoted\"\n", " äöü €", "", " <&>", "\x00"} {
		for _, usage := range []*Usage{nil, {PromptTokens: 1, CompletionTokens: 2, CachedTokens: 3}} {
			want := Chunk{
				ID: "r\"1", Choices: []Choice{{Text: text, FinishReason: "stop"}},
				TokenIndex: 9, TokenCount: 4, Usage: usage,
			}
			data, err := json.Marshal(want)
			require.NoError(t, err)
			got, ok := decodeChunk(data)
			require.True(t, ok)
			require.Equal(t, want.ID, got.ID)
			require.Equal(t, want.Choices[0], got.choice)
			require.Equal(t, want.TokenIndex, got.TokenIndex)
			require.Equal(t, want.TokenCount, got.TokenCount)
			require.Equal(t, usage != nil, got.hasUsage)
			if usage != nil {
				require.Equal(t, *usage, got.usage)
			}
		}
	}
}

func TestDecodeChunkRejectsMalformedInput(t *testing.T) {
	for _, data := range []string{``, `null`, `[]`, `{`, `{"id":"r1"}`, `{"choices":[]}`, `{"choices":[{},{}]}`, `{"choices":[{}]} x`} {
		_, ok := decodeChunk([]byte(data))
		require.False(t, ok, "%s", data)
	}
}

// FuzzDecodeChunk checks that every accepted input is valid JSON and that its chunk is unchanged by encoding and decoding
// it again.
func FuzzDecodeChunk(f *testing.F) {
	for _, seed := range chunkSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		got, ok := decodeChunk(data)
		if !ok || !utf8.Valid(data) {
			return
		}
		require.True(t, json.Valid(data))
		wire := got.Chunk
		wire.Choices = []Choice{got.choice}
		if got.hasUsage {
			wire.Usage = &got.usage
		}
		encoded, err := json.Marshal(wire)
		require.NoError(t, err)
		decodedAgain, ok := decodeChunk(encoded)
		require.True(t, ok)
		require.Equal(t, got, decodedAgain)
	})
}

// FuzzReadEvent checks that any input yields events within the limit or an error, and that reading ends.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{"data: {}\n\n", "data:{}\r\n\r\n", ": comment\n\ndata: x\n", "data", "\n\n\n", "event: x\ndata: 1\ndata: 2\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 16)
		for range len(data) + 1 {
			event, err := readEvent(r, 64)
			if err != nil {
				return
			}
			require.LessOrEqual(t, len(event), 64+16)
		}
		t.Fatal("more events than bytes")
	})
}
