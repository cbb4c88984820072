package httpd

import (
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"
)

// WriteJSON responds with the status and the value as JSON.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(2).InfoS("Stand-in failed to write its response", "err", err)
	}
}

// Abort ends the handler that calls it and drops the connection of its request without a response, or in the middle of
// one. It doesn't return.
func Abort() {
	panic(http.ErrAbortHandler)
}
