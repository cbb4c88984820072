package openai

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

func TestDecodeChatReturnsCanonicalRequest(t *testing.T) {
	req, err := DecodeChat([]byte(`{"model":"girth","messages":[{"role":"system","content":"a"},
		{"role":"user","content":[{"type":"text","text":"b"},{"type":"text","text":"c"}]}],
		"stream":true,"stream_options":{"include_usage":true},"max_tokens":7,"seed":3,"temperature":0.5,"Max_Tokens":7}`))
	require.NoError(t, err)
	require.Equal(t, ident.ModelID("girth"), req.Model)
	require.Equal(t, "system\x1fa\x1euser\x1fbc\x1e", string(req.Prompt))
	require.Equal(t, ident.Tokens(7), req.MaxTokens)
	require.True(t, req.Stream)
	require.True(t, req.IncludeUsage)
	require.Equal(t, uint64(3), *req.Seed)
	require.JSONEq(t, `{"temperature":0.5}`, string(req.Sampling))
}

// Guards against invalid bodies that are accepted, and against errors that name the wrong field.
func TestDecodeRejectsInvalidBodies(t *testing.T) {
	cases := []struct {
		name, body, param string
		decode            func([]byte) (*Request, error)
	}{
		{"empty", ``, "", DecodeChat},
		{"truncated", `{"model":"m","messages":[`, "", DecodeChat},
		{"trailing data", `{"model":"m","messages":[{"role":"user","content":"a"}]} {}`, "", DecodeChat},
		{"no model", `{"messages":[{"role":"user","content":"a"}]}`, "model", DecodeChat},
		{"no messages", `{"model":"m","messages":[]}`, "messages", DecodeChat},
		{"no role", `{"model":"m","messages":[{"content":"a"}]}`, "messages[0].role", DecodeChat},
		{"image part", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, "messages[0].content", DecodeChat},
		{"number as content", `{"model":"m","messages":[{"role":"user","content":5}]}`, "messages[0].content", DecodeChat},
		{"two choices", `{"model":"m","n":2,"messages":[{"role":"user","content":"a"}]}`, "n", DecodeChat},
		{"max_tokens of zero", `{"model":"m","max_tokens":0,"messages":[{"role":"user","content":"a"}]}`, "max_tokens", DecodeChat},
		{"no prompt", `{"model":"m"}`, "prompt", DecodeCompletion},
		{"list as prompt", `{"model":"m","prompt":["a"]}`, "prompt", DecodeCompletion},
		{"list as body", `[1]`, "", DecodeCompletion},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := tc.decode([]byte(tc.body))
			var reqErr *RequestError
			require.ErrorAs(t, err, &reqErr)
			require.Equal(t, tc.param, reqErr.Param)
		})
	}
}

// Guards against broken events: the chunks are built by hand, so text with quotes, control characters or non-ASCII
// letters could give invalid JSON.
func TestChunkWriterWritesValidEvents(t *testing.T) {
	for _, kind := range []Kind{KindChat, KindText} {
		w := NewChunkWriter(kind, "r1", "m")
		for _, text := range []string{"plain", "quote \" slash \\ line \n", "ā€", ""} {
			var chunk Response
			decodeEvent(t, w.Delta(text), &chunk)
			got := chunk.Choices[0].Text
			if kind == KindChat {
				got = &chunk.Choices[0].Delta.Content
			}
			require.Equal(t, text, *got)
		}
		events := strings.Split(strings.TrimSpace(string(w.Finish("stop", NewUsage(5, 4, 3)))), "\n\n")
		require.Len(t, events, 3)
		var usageChunk Response
		decodeEvent(t, []byte(events[1]), &usageChunk)
		require.Equal(t, ident.Tokens(8), usageChunk.Usage.TotalTokens)
		require.Equal(t, "data: [DONE]", events[2])
	}
}

func decodeEvent(t *testing.T, event []byte, v any) {
	t.Helper()
	data, ok := strings.CutPrefix(strings.TrimSpace(string(event)), "data: ")
	require.True(t, ok)
	require.NoError(t, json.Unmarshal([]byte(data), v))
}

func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],"seed":-1}`))
	f.Add([]byte(`{"model":"m","prompt":"a","temperature":1e400}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, decode := range []func([]byte) (*Request, error){DecodeChat, DecodeCompletion} {
			req, err := decode(body)
			var reqErr *RequestError
			if err != nil && !errors.As(err, &reqErr) {
				t.Fatalf("untyped error %T", err)
			}
			if err == nil && (req.Model == "" || len(req.Prompt) == 0) {
				t.Fatal("a request without model or prompt was accepted")
			}
		}
	})
}

func BenchmarkDelta(b *testing.B) {
	w := NewChunkWriter(KindChat, "r1", "m")
	b.ReportAllocs()
	for b.Loop() {
		w.Delta("forty tokens of text, more or less, as one batch")
	}
}
