package openai

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzText checks that decodeText returns for valid JSON strings what the JSON decoder returns.
func FuzzText(f *testing.F) {
	f.Add([]byte(`"plain"`))
	f.Add([]byte(`"a\n\t\r\b\f\/\\\"ā€"`))
	f.Add([]byte(`"\u0101\ud83d\ude00\ud800"`))
	f.Add([]byte("\"\xff\""))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var want string
		if json.Unmarshal(raw, &want) != nil {
			return
		}
		got, err := decodeText(raw)
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}

func BenchmarkDecodeChat(b *testing.B) {
	for _, blocks := range []int{1, 64} {
		b.Run(fmt.Sprintf("%dBlocks", blocks), func(b *testing.B) {
			line := "stand 14, tree 803: girth 140 cm, ash\n"
			promptJSON, err := json.Marshal(strings.Repeat(line, blocks*4000/len(line)))
			require.NoError(b, err)
			body := fmt.Appendf(nil, `{"model":"m","temperature":0.5,"messages":[{"role":"user","content":%s}]}`, promptJSON)
			b.SetBytes(int64(len(body)))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := DecodeChat(body); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
