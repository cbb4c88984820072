package httpd

import (
	"net/http"
	"strings"
)

// ContainsSecret reports whether the request's header or URL has the secret.
func ContainsSecret(r *http.Request, secret string) bool {
	if strings.Contains(r.URL.String(), secret) {
		return true
	}
	for _, values := range r.Header {
		for _, value := range values {
			if strings.Contains(value, secret) {
				return true
			}
		}
	}
	return false
}
