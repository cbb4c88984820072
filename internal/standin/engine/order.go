package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wireng "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// Order checks and carries out an order that was sent with the credential. Loading a version blocks until its weights
// are loaded. The error is a *RefusalError, a *CrashError or that of loading the weights.
func (e *Engine) Order(ctx context.Context, order extern.EngineOrder, credential string) error {
	e.init()
	incarnation, err := e.acceptOrder(order, credential)
	if err != nil {
		return err
	}
	if order.Kind == extern.OrderLoadVersion && !e.hasVersion(order.Version) {
		if err := e.loadWeights(ctx, order.Version); err != nil {
			return err
		}
	}
	return e.applyOrder(order, incarnation)
}

// acceptOrder checks the credential and the fencing token, as far as Settings ask for it, and returns the incarnation
// that accepted the order. The error is a *RefusalError or a *CrashError.
func (e *Engine) acceptOrder(order extern.EngineOrder, credential string) (ident.Incarnation, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown() {
		return 0, &CrashError{}
	}
	if e.ChecksIdentity && credential != e.Credential {
		e.stats.OrdersUnidentified++
		return 0, &RefusalError{Status: http.StatusUnauthorized, Code: wireng.CodeRejected, NotRun: true, Message: "not the engine's credential"}
	}
	if order.FencingToken < e.fencingToken {
		if e.ChecksFencing {
			e.stats.OrdersFenced++
			return 0, &RefusalError{Status: http.StatusConflict, Code: wireng.CodeFenced, NotRun: true, Message: "a newer order was taken"}
		}
		e.stats.StaleOrdersAccepted++
	}
	e.fencingToken = max(e.fencingToken, order.FencingToken)
	e.stats.OrdersAccepted++
	return e.incarnation, nil
}

func (e *Engine) hasVersion(version ident.VersionID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.versions[version] != nil
}

func (e *Engine) loadWeights(ctx context.Context, version ident.VersionID) error {
	if e.Weights != nil {
		return e.Weights.Load(ctx, version)
	}
	return sleepUntil(ctx, time.Now().Add(e.scaled(e.LoadTime)))
}

// applyOrder makes the change unless the engine has crashed since the order was accepted.
func (e *Engine) applyOrder(order extern.EngineOrder, incarnation ident.Incarnation) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.incarnation != incarnation || e.isDown() {
		return &CrashError{}
	}
	switch order.Kind {
	case extern.OrderLoadVersion:
		e.versions[order.Version] = &loadedVersion{}
	case extern.OrderUnloadVersion:
		delete(e.versions, order.Version)
		e.feed.Publish(nil, e.cache.dropVersion(order.Version))
	case extern.OrderLoadAdapter:
		e.adapters[order.Adapter] = true
	case extern.OrderSetRole:
		e.role = order.Role
	default:
		return &RefusalError{Status: http.StatusBadRequest, Code: wireng.CodeRejected, NotRun: true, Message: "unknown order"}
	}
	return nil
}
