package engine

import "github.com/gooseberryway/gooseberryway/internal/state/ident"

// Request is the body of POST /v1/completions: the fields of OpenAI completions and extension fields in camel case.
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

// Choice is the one choice of a chunk.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens     ident.Tokens `json:"prompt_tokens"`
	CompletionTokens ident.Tokens `json:"completion_tokens"`
	CachedTokens     ident.Tokens `json:"cachedTokens"`
}

// Chunk is one event of the answer's stream. The last one has Usage; [DONE] follows it.
type Chunk struct {
	ID         ident.RequestID `json:"id"`
	Choices    []Choice        `json:"choices"`
	TokenIndex ident.Tokens    `json:"tokenIndex"`
	TokenCount ident.Tokens    `json:"tokenCount"`
	Usage      *Usage          `json:"usage,omitempty"`
}

// ErrorBody is the body of an answer that is not 200, in the OpenAI error shape.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail tells what failed. Ran is "notRun" only if the request had no effect.
type ErrorDetail struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	RunStatus string `json:"ran,omitempty"`
}

// RunStatusNotRun is the value of FailureDetail.Ran for a request that had no effect.
const RunStatusNotRun = "notRun"

// Codes of failures that the adapter tells apart.
const (
	CodeOverloaded = "overloaded"
	CodeFenced     = "fenced"
	CodeRejected   = "rejected"
	CodeBroken     = "broken"
)

// CacheEvent is a cache event in the stream of GET /v1/events.
type CacheEvent struct {
	Incarnation ident.Incarnation `json:"incarnation"`
	Sequence    ident.Sequence    `json:"sequence"`
	Resync      bool              `json:"resync,omitempty"`
	Added       []ident.BlockHash `json:"added,omitempty"`
	Removed     []ident.BlockHash `json:"removed,omitempty"`
}

// LoadReport is a load report in the stream of GET /v1/events.
type LoadReport struct {
	Incarnation     ident.Incarnation `json:"incarnation"`
	LagMs           float64           `json:"lagMs"`
	WaitingRequests int               `json:"waitingRequests"`
	RunningRequests int               `json:"runningRequests"`
	QueuedTokens    ident.Tokens      `json:"queuedTokens"`
	Versions        []ident.VersionID `json:"versions"`
}

// Event is one event of GET /v1/events; one of the fields is set.
type Event struct {
	Cache *CacheEvent `json:"cache,omitempty"`
	Load  *LoadReport `json:"load,omitempty"`
}

// Order is the body of POST /v1/orders.
type Order struct {
	Kind         string          `json:"kind"`
	Model        ident.ModelID   `json:"model,omitempty"`
	Version      ident.VersionID `json:"version,omitempty"`
	Adapter      string          `json:"adapter,omitempty"`
	Role         string          `json:"role,omitempty"`
	FencingToken ident.Offset    `json:"fencing"`
}
