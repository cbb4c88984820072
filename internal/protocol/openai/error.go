package openai

// Ran tells whether a refused or failed request can have run.
type Ran string

// Values of Ran.
const (
	// RanNot: the request did not run and may be sent again.
	RanNot Ran = "notRun"
	// RanUnknown: the request may have run.
	RanUnknown Ran = "unknown"
	// RanYes: the request ran.
	RanYes Ran = "ran"
)

// Error is the OpenAI error shape with the fields that the router adds.
type Error struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Code    string  `json:"code"`
	Param   *string `json:"param"`
	// RequestID is the id to look for in the logs.
	RequestID string `json:"requestId"`
	Ran       Ran    `json:"ran"`
	// RetryAfterMs is how long to wait before a retry, 0 where a retry makes no sense.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
}

// ErrorBody is the body of an error answer.
type ErrorBody struct {
	Error Error `json:"error"`
}
