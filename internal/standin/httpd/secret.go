package httpd

import (
	"net/http"
	"strings"
)

// ContainsSecret reports whether the URL or a header value of the request contains the secret.
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
