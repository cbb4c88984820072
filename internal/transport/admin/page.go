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
	// pageUpdateInterval is the time between two status updates that are sent to the page.
	pageUpdateInterval = 2 * time.Second
	// pageSecurityPolicy is the Content-Security-Policy; it allows only scripts, styles and requests of the same origin.
	pageSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self' 'unsafe-inline'; connect-src 'self'; " +
		"form-action 'none'; frame-ancestors 'none'; base-uri 'none'"
)

// newPageHandler returns the handler of the status page, which is made for phones. The page uses no cookies: its script
// adds the operator's key to each request, so that other sites cannot make the browser send authenticated requests (CSRF).
func newPageHandler() http.Handler {
	files, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic(err) // cannot happen: the folder is embedded in the binary
	}
	server := http.FileServerFS(files)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", pageSecurityPolicy)
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "no-referrer")
		h.Set("Cache-Control", "no-cache")
		server.ServeHTTP(w, r)
	})
}

// serveUpdates streams the content of the status page as server-sent events until the operator disconnects, the server
// shuts down or the operator's key is no longer valid, which is checked before each update.
func (s *Server) serveUpdates(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	ticker := time.NewTicker(pageUpdateInterval)
	defer ticker.Stop()
	for {
		if _, err := s.authenticate(r); err != nil {
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
		case <-s.shutdown:
			return
		case <-ticker.C:
		}
	}
}
