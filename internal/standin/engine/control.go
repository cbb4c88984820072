package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/standin/httpd"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Control is the body of POST /standin/control, with which tests inject faults. Absent fields change nothing.
type Control struct {
	Faults     *Faults                       `json:"faults,omitempty"`
	Behaviours map[ident.VersionID]Behaviour `json:"behaviours,omitempty"`
	// CrashMs makes the engine crash and stay down for this many unscaled milliseconds.
	CrashMs *int64 `json:"crashMs,omitempty"`
	// LeaveMs is the unscaled time in milliseconds after which requests count as work after leaving; see Engine.Leave.
	LeaveMs *int64 `json:"leaveMs,omitempty"`
	// CallerKeys are the keys passed to Engine.WatchCallerKeys.
	CallerKeys []string `json:"callerKeys,omitempty"`
}

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	var control Control
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&control); err != nil {
		writeError(w, badRequest(err))
		return
	}
	e.Apply(control)
	w.WriteHeader(http.StatusNoContent)
}

// Apply carries out a control message; the crash comes last.
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

// Start listens on Address, then runs and serves the engine until Close. The error is that of listening.
func (e *Engine) Start(ctx context.Context) error {
	e.init()
	setDefault(&e.Address, defaultAddress)
	e.server = &httpd.Server{Address: e.Address, Handler: e.Handler()}
	if err := e.server.Start(ctx); err != nil {
		return err
	}
	ctx, e.cancel = context.WithCancel(context.WithoutCancel(ctx))
	e.background.Go(func() { e.Run(ctx) })
	return nil
}

// URL returns the base URL. It is valid only after Start.
func (e *Engine) URL() string { return e.server.URL() }

// Close stops the engine, drops all connections and waits until all goroutines that Start began have ended.
func (e *Engine) Close() error {
	if e.cancel == nil {
		return nil
	}
	e.cancel()
	err := e.server.Close()
	e.background.Wait()
	return err
}
