package admin

import (
	"embed"
	"encoding/json"
	"io/fs"
	"net/http"
	"time"
)

//go:embed page
var pageFiles embed.FS

const (
	// updateInterval is the time between two updates of the page.
	updateInterval = 2 * time.Second
	// pagePolicy lets the page load its own files only.
	pagePolicy = "default-src 'none'; script-src 'self'; style-src 'self' 'unsafe-inline'; connect-src 'self'; " +
		"form-action 'none'; frame-ancestors 'none'; base-uri 'none'"
)

// page serves the page for phones. It holds no credentials: the operator's key goes along with each of its requests,
// so that other sites can't make a browser send them.
func page() http.Handler {
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic(err) // the files are part of the program
	}
	server := http.FileServerFS(files)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", pagePolicy)
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "no-referrer")
		h.Set("Cache-Control", "no-cache")
		server.ServeHTTP(w, r)
	})
}

// serveUpdates streams what the page shows as server-sent events until the operator goes or the key is withdrawn.
func (s *Server) serveUpdates(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		if _, err := s.operator(r); err != nil {
			return
		}
		raw, err := json.Marshal(s.StatusPage())
		if err != nil || rc.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
			return
		}
		if _, err := w.Write([]byte("data: " + string(raw) + "\n\n")); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-s.closing:
			return
		case <-ticker.C:
		}
	}
}
