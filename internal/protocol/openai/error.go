package openai

// RunStatus says whether a rejected or failed request may have run on an engine.
type RunStatus string

// Values of RunStatus.
const (
	// RunStatusNotRun: the request did not run and may be sent again.
	RunStatusNotRun RunStatus = "notRun"
	// RunStatusUnknown: the request may have run.
	RunStatusUnknown RunStatus = "unknown"
	// RunStatusRan: the request ran.
	RunStatusRan RunStatus = "ran"
)

// Error is the OpenAI error shape with the fields that the router adds.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// RequestID is the id under which the request is logged.
	RequestID string    `json:"requestId"`
	RunStatus RunStatus `json:"ran"`
	// RetryAfterMs is how long the caller should wait before a retry, 0 if it should not retry.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error Error `json:"error"`
}
