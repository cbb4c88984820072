package events

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	wireng "github.com/gooseberryway/gooseberryway/internal/transport/engine"
)

// ServeHTTP serves GET /v1/events as server-sent events until the watcher disconnects or the feed is reset. The
// parameters incarnation and after give the position.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	incarnation, _ := strconv.ParseUint(r.FormValue("incarnation"), 10, 64)
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	from := extern.EnginePosition{Incarnation: ident.Incarnation(incarnation), Sequence: ident.Sequence(after)}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	if err := flusher.Flush(); err != nil {
		return
	}
	_ = f.Watch(r.Context(), from, func(event any) error {
		line, err := encodeEvent(event)
		if err != nil {
			return err
		}
		if _, err := w.Write(line); err != nil {
			return err
		}
		return flusher.Flush()
	})
}

// encodeEvent returns an event in the format of server-sent events. A heartbeat becomes a comment, which readers ignore.
func encodeEvent(event any) ([]byte, error) {
	if _, ok := event.(Heartbeat); ok {
		return []byte(": heartbeat\n\n"), nil
	}
	data, err := json.Marshal(wireEvent(event))
	if err != nil {
		return nil, err
	}
	return append(append([]byte("data: "), data...), "\n\n"...), nil
}

// wireEvent converts an event to its JSON form.
func wireEvent(event any) wireng.Event {
	switch e := event.(type) {
	case extern.CacheEvent:
		return wireng.Event{Cache: &wireng.CacheEvent{
			Incarnation: e.Position.Incarnation,
			Sequence:    e.Position.Sequence,
			Resync:      e.Resync,
			Added:       e.Added,
			Removed:     e.Removed,
		}}
	case extern.LoadReport:
		return wireng.Event{Load: &wireng.LoadReport{
			Incarnation:     e.Incarnation,
			LagMs:           float64(e.Lag) / float64(time.Millisecond),
			WaitingRequests: e.WaitingRequests,
			RunningRequests: e.RunningRequests,
			QueuedTokens:    e.QueuedTokens,
			Versions:        e.Versions,
		}}
	default:
		return wireng.Event{}
	}
}
