package httpd

import (
	"encoding/json"
	"net/http"

	"k8s.io/klog/v2"
)

// WriteJSON writes a value as the answer with the status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(value); err != nil {
		klog.V(2).InfoS("Stand-in could not write its answer", "err", err)
	}
}

// Abort drops the connection of the request without an answer.
func Abort() {
	panic(http.ErrAbortHandler)
}
