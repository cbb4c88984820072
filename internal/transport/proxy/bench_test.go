package proxy

import (
	"bytes"
	"math"
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

// BenchmarkScanLongEvent is what a read costs of a stream whose event is long.
func BenchmarkScanLongEvent(b *testing.B) {
	const readBytes = 1 << 10
	s := eventScanner{onEvent: func(*event) error { return nil }, maxEventBytes: math.MaxInt}
	p := bytes.Repeat([]byte("x"), readBytes)
	b.SetBytes(readBytes)
	for b.Loop() {
		if _, err := s.scan(p); err != nil {
			b.Fatal(err)
		}
	}
}
