package httpd

import (
	"encoding/json"
	"net/http"
)

// Decode returns an HTTP handler that decodes a JSON body and passes it to handle. It responds with status 204, or with
// 400 if the body is not valid or is larger than 16 MiB.
func Decode[T any](handle func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var value T
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&value); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		handle(value)
		w.WriteHeader(http.StatusNoContent)
	}
}
