package wstore

import (
	"context"
	"io"
	"net/http"
	"net/url"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Remote loads weights from a Store over HTTP.
type Remote struct {
	BaseURL string
	Pool    httpc.Pool
}

// Load returns when the weights have been loaded. The error is an *extern.UpstreamError.
func (r *Remote) Load(ctx context.Context, version ident.VersionID) error {
	target := r.BaseURL + "/v1/loads/" + url.PathEscape(string(version))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, http.NoBody)
	if err != nil {
		return &extern.UpstreamError{Kind: extern.UpstreamRejected, NotRun: true, Err: err}
	}
	resp, err := r.Pool.Do(req)
	if err != nil {
		return httpc.AsUpstreamError("", err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return &extern.UpstreamError{
			Kind: httpc.StatusErrorKind(resp.StatusCode),
			Err:  &httpc.StatusError{Status: resp.StatusCode},
		}
	}
	return nil
}
