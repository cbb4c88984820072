package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// stream reads the server-sent events of one answer. It reuses its buffers and its events.
type stream struct {
	body     io.ReadCloser
	reader   *bufio.Reader
	upstream ident.UpstreamID
	request  ident.RequestID

	chunk extern.EngineChunk
	done  bool
	err   error
}

// ResponseMismatchError is an answer to another request.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return "the answer belongs to request " + string(e.Got) + ", not to " + string(e.Want)
}

var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

func newStream(body io.ReadCloser, upstream ident.UpstreamID, request ident.RequestID) *stream {
	reader, ok := readers.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, streamBufferBytes)
	}
	reader.Reset(body)
	return &stream{body: body, reader: reader, upstream: upstream, request: request}
}

// Next implements extern.EngineStream.
func (s *stream) Next() (extern.EngineEvent, error) {
	if s.err != nil {
		return nil, s.err
	}
	event, err := s.next()
	if err != nil {
		s.err = err
	}
	return event, err
}

func (s *stream) next() (extern.EngineEvent, error) {
	if s.done || s.reader == nil {
		return nil, readFailure(s.upstream, io.EOF)
	}
	data, err := readEvent(s.reader, streamBufferBytes)
	if err != nil {
		return nil, readFailure(s.upstream, err)
	}
	if string(data) == doneMarker {
		return nil, readFailure(s.upstream, io.EOF)
	}
	return s.decode(data)
}

func (s *stream) decode(data []byte) (extern.EngineEvent, error) {
	chunk, ok := decodeChunk(data)
	if !ok {
		return nil, s.broken("an event is not a chunk with exactly one choice")
	}
	if chunk.ID != s.request {
		crossed := &ResponseMismatchError{Want: s.request, Got: chunk.ID}
		return nil, &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: s.upstream, Err: crossed}
	}
	if !chunk.last {
		s.chunk = extern.EngineChunk{
			Request: s.request,
			Index:   chunk.TokenIndex,
			Count:   chunk.TokenCount,
			Text:    chunk.choice.Text,
		}
		return &s.chunk, nil
	}
	s.done = true
	return &extern.EngineDone{
		Request:      s.request,
		FinishReason: chunk.choice.FinishReason,
		PromptTokens: chunk.usage.PromptTokens,
		CachedTokens: chunk.usage.CachedTokens,
		OutputTokens: chunk.usage.CompletionTokens,
	}, nil
}

func (s *stream) broken(reason string) error {
	return &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: s.upstream, Err: &FormatError{Reason: reason}}
}

// Close implements extern.EngineStream. A complete answer is read to its end so that its connection can be used again;
// the connection of any other is closed, which cancels the request at the engine.
func (s *stream) Close() error {
	if s.reader == nil {
		return nil
	}
	if s.done {
		_, _ = io.CopyN(io.Discard, s.reader, streamBufferBytes)
	}
	err := s.body.Close()
	s.reader.Reset(nil)
	readers.Put(s.reader)
	s.reader = nil
	return err
}

// readEvent returns the data of the next event of at most limit bytes. It is valid until the next read.
func readEvent(r *bufio.Reader, limit int) ([]byte, error) {
	for {
		line, err := readLine(r, limit)
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, []byte(dataPrefix)); ok {
			return bytes.TrimSpace(data), nil
		}
	}
}

// readLine returns the next line. Lines longer than the reader's buffer are copied.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	whole := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(whole) > limit {
			return nil, &FormatError{Reason: "an event is too long"}
		}
		line, err = r.ReadSlice('\n')
		whole = append(whole, line...)
	}
	return whole, err
}
