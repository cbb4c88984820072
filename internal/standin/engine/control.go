package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Control is the body of POST /standin/control. Fields that are absent change nothing.
type Control struct {
	Faults     *Faults                       `json:"faults,omitempty"`
	Behaviours map[ident.VersionID]Behaviour `json:"behaviours,omitempty"`
	// CrashMs makes the engine crash and stay away for so many milliseconds.
	CrashMs *int64 `json:"crashMs,omitempty"`
	// LeaveMs sets the time from which on requests count as work after leaving.
	LeaveMs    *int64   `json:"leaveMs,omitempty"`
	CallerKeys []string `json:"callerKeys,omitempty"`
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&control); err != nil {
		serveFailure(w, badRequest(err))
		return
	}
	e.Apply(control)
	w.WriteHeader(http.StatusNoContent)
}

// Apply carries out a control message.
func (e *Engine) Apply(control Control) {
	if control.Faults != nil {
		e.SetFaults(*control.Faults)
	}
	for version, b := range control.Behaviours {
		e.SetBehaviour(version, b)
	}
	if control.CallerKeys != nil {
		e.WatchCallerKeys(control.CallerKeys)
	}
	if control.LeaveMs != nil {
		e.Leave(time.Duration(*control.LeaveMs) * time.Millisecond)
	}
	if control.CrashMs != nil {
		e.Crash(time.Duration(*control.CrashMs) * time.Millisecond)
	}
}

// Start listens on Address, computes and serves until Close.
func (e *Engine) Start(ctx context.Context) error {
	e.init()
	fill(&e.Address, defaultAddress)
	e.server = &httpd.Server{Address: e.Address, Handler: e.Handler()}
	if err := e.server.Start(ctx); err != nil {
		return err
	}
	ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	e.started.Go(func() { e.Run(ctx) })
	return nil
}

// URL returns the base URL after Start.
func (e *Engine) URL() string { return e.server.URL() }

// Close drops all connections and waits for everything that Start started.
func (e *Engine) Close() error {
	if e.cancel == nil {
		return nil
	}
	e.cancel()
	err := e.server.Close()
	e.started.Wait()
	return err
}
