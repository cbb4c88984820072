package engine

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Request is the body of POST /v1/completions: fields of the OpenAI completions API, and extension fields in camel case.
type Request struct {
	Model     string       `json:"model"`
	Prompt    string       `json:"prompt"`
	MaxTokens ident.Tokens `json:"max_tokens"` //nolint:tagliatelle // the published name
	Seed      uint64       `json:"seed"`
	Stream    bool         `json:"stream"`

	RequestID    ident.RequestID `json:"requestId"`
	CacheSalt    string          `json:"cacheSalt"`
	Version      ident.VersionID `json:"version"`
	Adapter      string          `json:"adapter,omitempty"`
	Priority     int             `json:"priority,omitempty"`
	ResumeFrom   ident.Tokens    `json:"resumeFrom,omitempty"`
	ImportBlocks int             `json:"importBlocks,omitempty"`
}

// Choice is the only choice of a chunk.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	CachedTokens     ident.Tokens `json:"cachedTokens"`
}

// Chunk is one event of the response stream. The last chunk has Usage and is followed by [DONE].
type Chunk struct {
	ID         ident.RequestID `json:"id"`
	Choices    []Choice        `json:"choices"`
	TokenIndex ident.Tokens    `json:"tokenIndex"`
	TokenCount ident.Tokens    `json:"tokenCount"`
	Usage      *Usage          `json:"usage,omitempty"`
}

// ErrorBody is the body of a response with a status other than 200, in the format of OpenAI errors.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure. RunStatus is RunStatusNotRun only if the request had no effect.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	RunStatus string `json:"ran,omitempty"`
}

// RunStatusNotRun is the value of ErrorDetail.RunStatus for a request that had no effect.
const RunStatusNotRun = "notRun"

// Error codes of an engine. CodeFenced and CodeOverloaded set the kind of the error; the status decides for the others.
const (
	CodeOverloaded = "overloaded"
	CodeFenced     = "fenced"
	CodeRejected   = "rejected"
	CodeBroken     = "broken"
)

// CacheEvent lists the blocks that an engine has added to and removed from its cache. With Resync set, Added is the whole
// content of the cache.
type CacheEvent struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    ident.Sequence    `json:"sequence"`
	Resync      bool              `json:"resync,omitempty"`
	Added       []ident.BlockHash `json:"added,omitempty"`
	Removed     []ident.BlockHash `json:"removed,omitempty"`
}

// LoadReport is the load of an engine, LagMs milliseconds ago.
type LoadReport struct {
	Incarnation     ident.Incarnation `json:"incarnation"`
	LagMs           float64           `json:"lagMs"`
	WaitingRequests int               `json:"waitingRequests"`
	RunningRequests int               `json:"runningRequests"`
	QueuedTokens    ident.Tokens      `json:"queuedTokens"`
	Versions        []ident.VersionID `json:"versions"`
}

// Event is one event of GET /v1/events: a cache event or a load report.
type Event struct {
	Cache *CacheEvent `json:"cache,omitempty"`
	Load  *LoadReport `json:"load,omitempty"`
}

// Order is the body of POST /v1/orders. By FencingToken the engine recognises and rejects orders of a former leader.
type Order struct {
	Kind         string          `json:"kind"`
	Model        ident.ModelID   `json:"model,omitempty"`
	Version      ident.VersionID `json:"version,omitempty"`
	Adapter      string          `json:"adapter,omitempty"`
	Role         string          `json:"role,omitempty"`
	FencingToken ident.Offset    `json:"fencing"`
}
