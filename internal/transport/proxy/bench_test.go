package proxy

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// BenchmarkFingerprint is what a request costs while some request is under suspicion or in quarantine.
func BenchmarkFingerprint(b *testing.B) {
	r := httptest.NewRequest(http.MethodPost, "http://h.example/draft/x", http.NoBody)
	body := make([]byte, 18<<10)
	for b.Loop() {
		(&call{r: r, body: body}).fingerprint()
	}
}
