package kvstor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Remote is the client that a stand-in engine uses for a Store in another process. Each request times out after 2 s. A
// lookup that fails counts as a cache miss; an export that fails is dropped.
type Remote struct {
	BaseURL string
	Pool    httpc.Pool
}

// LookupPrefix returns the number of leading blocks of the chain that the store has, 0 if the request fails.
func (r *Remote) LookupPrefix(ctx context.Context, chain []ident.BlockHash) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp := r.post(ctx, "/v1/blocks/lookup", chain)
	if resp == nil {
		return 0
	}
	defer resp.Body.Close()
	var response LookupResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return 0
	}
	return max(min(response.CachedBlocks, len(chain)), 0)
}

// Export adds blocks to the store.
func (r *Remote) Export(ctx context.Context, blocks []ident.BlockHash) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if resp := r.post(ctx, "/v1/blocks", blocks); resp != nil {
		_ = resp.Body.Close()
	}
}

// post sends the blocks and returns the response, or nil if there is none.
func (r *Remote) post(ctx context.Context, path string, blocks []ident.BlockHash) *http.Response {
	body, err := json.Marshal(Chain{Blocks: blocks})
	if err != nil {
		return nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil
	}
	resp, err := r.Pool.Do(req)
	if err != nil {
		return nil
	}
	return resp
}
