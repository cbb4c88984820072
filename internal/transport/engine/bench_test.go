package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"testing"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// encodedStream returns n encoded events of one token each, without a last event.
func encodedStream(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		data, _ := json.Marshal(Chunk{
			ID: "0123456789abcdef0123456789abcdef", Choices: []Choice{{Text: " word"}},
			TokenIndex: ident.Tokens(i), TokenCount: 1,
		})
		fmt.Fprintf(&b, "data: %s\n\n", data)
	}
	return b.Bytes()
}

// repeatingReader is a response body that repeats data without end.
type repeatingReader struct {
	data      []byte
	remaining []byte
}

func (e *repeatingReader) Read(p []byte) (int, error) {
	if len(e.remaining) == 0 {
		e.remaining = e.data
	}
	n := copy(p, e.remaining)
	e.remaining = e.remaining[n:]
	return n, nil
}

func (e *repeatingReader) Close() error { return nil }

func BenchmarkStreamChunk(b *testing.B) {
	s := newStream(&repeatingReader{data: encodedStream(64)}, "e1", "0123456789abcdef0123456789abcdef")
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		event, err := s.Next()
		if _, ok := event.(*extern.EngineChunk); !ok {
			b.Fatal(err)
		}
	}
}

func BenchmarkReadEvent(b *testing.B) {
	r := bufio.NewReaderSize(&repeatingReader{data: encodedStream(64)}, streamBufferBytes)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readEvent(r, streamBufferBytes); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRequestBody(b *testing.B) {
	for _, blocks := range []int{1, 64} {
		b.Run(fmt.Sprintf("%dBlocks", blocks), func(b *testing.B) {
			req := extern.EngineRequest{Request: "r1", Prompt: bytes.Repeat([]byte("word"), blocks*1000)}
			b.SetBytes(int64(len(req.Prompt)))
			b.ReportAllocs()
			for b.Loop() {
				body, err := encodeRequest(&req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Discard.Write(body)
			}
		})
	}
}
