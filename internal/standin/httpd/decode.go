package httpd

import (
	"encoding/json"
	"net/http"
)

// Decode returns a handler that reads a JSON body and passes it on. It answers 400 for a body that it can't read
// and 204 afterwards.
func Decode[T any](take func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		take(value)
		w.WriteHeader(http.StatusNoContent)
	}
}
