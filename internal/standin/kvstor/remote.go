package kvstor

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
	"github.com/gooseberryway/gooseberryway/internal/transport/httpc"
)

// Remote is a Store in another process, as a stand-in engine uses it. Failures count as blocks that are not held.
type Remote struct {
	BaseURL string
	Pool    httpc.Pool
}

// LookupPrefix returns the number of leading blocks of the chain that the store has.
func (r *Remote) LookupPrefix(ctx context.Context, chain []ident.BlockHash) int {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	resp := r.post(ctx, "/v1/blocks/lookup", chain)
	if resp == nil {
		return 0
	}
	defer resp.Body.Close()
	var answer LookupResponse
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return 0
	}
	return max(min(answer.CachedBlocks, len(chain)), 0)
}

// Export gives blocks to the store.
func (r *Remote) Export(ctx context.Context, blocks []ident.BlockHash) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	if resp := r.post(ctx, "/v1/blocks", blocks); resp != nil {
		_ = resp.Body.Close()
	}
}

// post returns nil if there is no answer.
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
