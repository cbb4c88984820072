package openai

// RunStatus tells whether a refused or failed request can have run.
type RunStatus string

// Values of Ran.
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
	// RequestID is the id to look for in the logs.
	RequestID string    `json:"requestId"`
	RunStatus RunStatus `json:"ran"`
	// RetryAfterMs is how long to wait before a retry, 0 where a retry makes no sense.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error Error `json:"error"`
}
