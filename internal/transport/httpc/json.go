package httpc

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// GetJSON fetches a JSON document of at most 16 MiB with the credential, if any, as the bearer token. The error is an
// *extern.UpstreamError.
func GetJSON[T any](ctx context.Context, p *Pool, target, credential string) (T, error) {
	var value T
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return value, &extern.UpstreamError{Kind: extern.UpstreamRejected, NotRun: true, Err: err}
	}
	SetBearer(req.Header, credential)
	resp, err := p.Do(req)
	if err != nil {
		return value, AsUpstreamError("", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return value, &extern.UpstreamError{
			Kind:       StatusErrorKind(resp.StatusCode),
			RetryAfter: RetryAfter(resp.Header),
			Err:        &StatusError{Status: resp.StatusCode},
		}
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxDocumentBytes)).Decode(&value); err != nil {
		return value, &extern.UpstreamError{Kind: extern.UpstreamBroken, Err: err}
	}
	return value, nil
}
