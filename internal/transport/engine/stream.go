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

// stream reads the server-sent events of one response. Its read buffer is pooled, and Next returns the same EngineChunk
// for every chunk.
type stream struct {
	body      io.ReadCloser
	reader    *bufio.Reader
	upstream  ident.UpstreamID
	requestID ident.RequestID

	chunk extern.EngineChunk
	done  bool
	err   error
}

// ResponseMismatchError is a response whose id is that of another request.
type ResponseMismatchError struct {
	Want, Got ident.RequestID
}

func (e *ResponseMismatchError) Error() string {
	return "the response belongs to request " + string(e.Got) + ", not to " + string(e.Want)
}

// readerPool holds buffered readers of closed streams.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, streamBufferBytes) }}

func newStream(body io.ReadCloser, upstream ident.UpstreamID, requestID ident.RequestID) *stream {
	reader, ok := readerPool.Get().(*bufio.Reader)
	if !ok {
		reader = bufio.NewReaderSize(nil, streamBufferBytes)
	}
	reader.Reset(body)
	return &stream{body: body, reader: reader, upstream: upstream, requestID: requestID}
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
		return nil, readError(s.upstream, io.EOF)
	}
	data, err := readEvent(s.reader, streamBufferBytes)
	if err != nil {
		return nil, readError(s.upstream, err)
	}
	if string(data) == doneMarker {
		return nil, readError(s.upstream, io.EOF)
	}
	return s.decode(data)
}

func (s *stream) decode(data []byte) (extern.EngineEvent, error) {
	chunk, ok := decodeChunk(data)
	if !ok {
		return nil, s.formatError("an event is not a chunk with exactly one choice")
	}
	if chunk.ID != s.requestID {
		mismatch := &ResponseMismatchError{Want: s.requestID, Got: chunk.ID}
		return nil, &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: s.upstream, Err: mismatch}
	}
	if !chunk.hasUsage {
		s.chunk = extern.EngineChunk{
			Request: s.requestID,
			Index:   chunk.TokenIndex,
			Count:   chunk.TokenCount,
			Text:    chunk.choice.Text,
		}
		return &s.chunk, nil
	}
	s.done = true
	return &extern.EngineDone{
		Request:      s.requestID,
		FinishReason: chunk.choice.FinishReason,
		PromptTokens: chunk.usage.PromptTokens,
		CachedTokens: chunk.usage.CachedTokens,
		OutputTokens: chunk.usage.CompletionTokens,
	}, nil
}

func (s *stream) formatError(reason string) error {
	return &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: s.upstream, Err: &FormatError{Reason: reason}}
}

// Close implements extern.EngineStream. After the last event it reads the rest of the body, so that the connection can be
// reused. Before that it closes the connection, which cancels the request at the engine.
func (s *stream) Close() error {
	if s.reader == nil {
		return nil
	}
	if s.done {
		_, _ = io.CopyN(io.Discard, s.reader, streamBufferBytes)
	}
	err := s.body.Close()
	s.reader.Reset(nil)
	readerPool.Put(s.reader)
	s.reader = nil
	return err
}

// readEvent returns the data of the next server-sent event, skipping other lines. A line may be longer than limit bytes by
// at most one buffer of the reader. The data is valid until the next read.
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

// readLine returns the next line with its newline. Only a line longer than the reader's buffer is copied. The
// error is a *FormatError if such a line exceeds limit bytes by more than one buffer.
func readLine(r *bufio.Reader, limit int) ([]byte, error) {
	line, err := r.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	full := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(full) > limit {
			return nil, &FormatError{Reason: "an event exceeds the size limit"}
		}
		line, err = r.ReadSlice('\n')
		full = append(full, line...)
	}
	return full, err
}
