package engine

import (
	"context"
	"errors"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wireng "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// InProcessClient implements extern.Engine by direct calls without sockets, so that tests can use testing/synctest.
type InProcessClient struct {
	// Engines are the engines by base URL.
	Engines map[string]*Engine
	// Credential is sent with orders.
	Credential string
}

var _ extern.Engine = (*InProcessClient)(nil)

// UnknownEngineError is returned for a base URL that no engine has.
type UnknownEngineError struct {
	BaseURL string
}

func (e *UnknownEngineError) Error() string { return "no engine at " + e.BaseURL }

// Complete implements extern.Engine.
func (l *InProcessClient) Complete(ctx context.Context, upstream ident.UpstreamID, baseURL string, req extern.EngineRequest) (extern.EngineStream, error) {
	e, err := l.engine(baseURL)
	if err != nil {
		return nil, err
	}
	c, err := e.Submit(ctx, req)
	if err != nil {
		return nil, upstreamError(upstream, err)
	}
	return &inProcessStream{ctx: ctx, upstream: upstream, request: req.Request, completion: c}, nil
}

// Watch implements extern.Engine.
func (l *InProcessClient) Watch(ctx context.Context, baseURL string, from extern.EnginePosition, sink extern.EngineSink) error {
	e, err := l.engine(baseURL)
	if err != nil {
		return err
	}
	err = e.Watch(ctx, from, func(event any) error {
		switch event := event.(type) {
		case extern.CacheEvent:
			sink.CacheEvent(event)
		case extern.LoadReport:
			sink.LoadReport(event)
		}
		return nil
	})
	return upstreamError(e.ID, err)
}

// Order implements extern.Engine.
func (l *InProcessClient) Order(ctx context.Context, baseURL string, order extern.EngineOrder) error {
	e, err := l.engine(baseURL)
	if err != nil {
		return err
	}
	if err := e.Order(ctx, order, l.Credential); err != nil {
		return upstreamError(e.ID, err)
	}
	return nil
}

func (l *InProcessClient) engine(baseURL string) (*Engine, error) {
	if e, ok := l.Engines[baseURL]; ok {
		return e, nil
	}
	return nil, &extern.UpstreamError{Kind: extern.UpstreamUnreachable, NotRun: true, Err: &UnknownEngineError{BaseURL: baseURL}}
}

// inProcessStream is an answer read through an InProcessClient.
type inProcessStream struct {
	ctx        context.Context //nolint:containedctx // extern.EngineStream.Next has no context
	upstream   ident.UpstreamID
	request    ident.RequestID
	completion *Completion
	ended      bool
}

// Next implements extern.EngineStream.
func (s *inProcessStream) Next() (extern.EngineEvent, error) {
	if s.ended {
		return nil, upstreamError(s.upstream, &TruncatedError{})
	}
	event, err := s.completion.Next(s.ctx)
	if err != nil {
		s.ended = true
		return nil, upstreamError(s.upstream, err)
	}
	if got := s.completion.servedRequest.Request; got != s.request {
		s.ended = true
		mismatch := &wireng.ResponseMismatchError{Want: s.request, Got: got}
		return nil, &extern.UpstreamError{Kind: extern.UpstreamResponseMismatch, Upstream: s.upstream, Err: mismatch}
	}
	_, s.ended = event.(*extern.EngineDone)
	return event, nil
}

// Close implements extern.EngineStream.
func (s *inProcessStream) Close() error {
	s.completion.Close()
	return nil
}

// upstreamError converts an engine's error to the *extern.UpstreamError that the HTTP client would return.
func upstreamError(upstream ident.UpstreamID, err error) error {
	up := &extern.UpstreamError{Kind: extern.UpstreamBroken, Upstream: upstream, Err: err}
	var refusal *RefusalError
	switch {
	case errors.As(err, &refusal):
		up.NotRun, up.RetryAfter = refusal.NotRun, refusal.RetryAfter
		up.Kind = errorKind(refusal)
	case errors.Is(err, context.DeadlineExceeded):
		up.Kind = extern.UpstreamTimeout
	}
	return up
}

func errorKind(refusal *RefusalError) extern.UpstreamErrorKind {
	switch {
	case refusal.Code == wireng.CodeFenced:
		return extern.UpstreamFenced
	case refusal.Code == wireng.CodeOverloaded:
		return extern.UpstreamOverloaded
	case refusal.Status < http.StatusInternalServerError:
		return extern.UpstreamRejected
	default:
		return extern.UpstreamBroken
	}
}
