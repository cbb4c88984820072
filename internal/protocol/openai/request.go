// Package openai decodes the requests of the OpenAI-compatible API for callers and encodes its responses, stream chunks
// and errors.
package openai

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Separators of the canonical prompt, so that different message lists give different prompts. JSON strings can contain
// them only escaped.
const (
	roleSeparator    = '\x1f'
	messageSeparator = '\x1e'
)

// Request is a completion request in canonical form, decoded from the body of a chat or a plain completion.
type Request struct {
	Model ident.ModelID
	// Prompt is the canonical prompt. For a chat it is role, roleSeparator, text and messageSeparator of each message; for
	// a plain completion it is the prompt as sent.
	Prompt []byte
	// MaxTokens is the caller's limit on output tokens, 0 if there is none.
	MaxTokens ident.Tokens
	Stream    bool
	// IncludeUsage asks for a last chunk with the token counts of a stream.
	IncludeUsage bool
	// Seed is the caller's sampling seed; nil if there is none.
	Seed *uint64
	// Sampling is a JSON object of all other parameters, passed on to the engine; nil if there are none.
	Sampling []byte
}

// RequestError is the error for a body that is not a valid request. Its text reaches the caller.
type RequestError struct {
	// Param names the invalid field; empty if the error is not about one field.
	Param  string
	Reason string
	Err    error
}

func (e *RequestError) Error() string {
	msg := e.Reason
	if e.Param != "" {
		msg = e.Param + ": " + msg
	}
	if e.Err != nil {
		msg = fmt.Sprintf("%s: %v", msg, e.Err)
	}
	return msg
}

func (e *RequestError) Unwrap() error { return e.Err }

// fields are the parameters that the router itself reads. All others go to the engine unchanged. The decoder's errors
// contain the name of this type and reach the caller.
type fields struct {
	Model               string          `json:"model"`
	Messages            []message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	Seed                *int64          `json:"seed"`
	N                   *int64          `json:"n"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// DecodeChat decodes the body of a chat completion. The error is a *RequestError.
func DecodeChat(body []byte) (*Request, error) {
	f, err := decodeFields(body)
	if err != nil {
		return nil, err
	}
	if len(f.Messages) == 0 {
		return nil, &RequestError{Param: "messages", Reason: "at least one message is needed"}
	}
	prompt, err := chatPrompt(f.Messages)
	if err != nil {
		return nil, err
	}
	return newRequest(f, prompt, body)
}

// DecodeCompletion decodes the body of a plain completion. The error is a *RequestError.
func DecodeCompletion(body []byte) (*Request, error) {
	f, err := decodeFields(body)
	if err != nil {
		return nil, err
	}
	prompt, err := decodeText(f.Prompt)
	if err != nil || prompt == "" {
		return nil, &RequestError{Param: "prompt", Reason: "a non-empty string is needed"}
	}
	return newRequest(f, []byte(prompt), body)
}

func decodeFields(body []byte) (*fields, error) {
	var f fields
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, &RequestError{Reason: "the body is not valid JSON", Err: err}
	}
	if f.Model == "" {
		return nil, &RequestError{Param: "model", Reason: "a model is needed"}
	}
	if f.N != nil && *f.N != 1 {
		return nil, &RequestError{Param: "n", Reason: "only 1 answer a request is supported"}
	}
	return &f, nil
}

func newRequest(f *fields, prompt, body []byte) (*Request, error) {
	maxTokens, err := outputLimit(f)
	if err != nil {
		return nil, err
	}
	sampling, err := otherParameters(body)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Model:        ident.ModelID(f.Model),
		Prompt:       prompt,
		MaxTokens:    maxTokens,
		Stream:       f.Stream,
		IncludeUsage: f.StreamOptions != nil && f.StreamOptions.IncludeUsage,
		Sampling:     sampling,
	}
	if f.Seed != nil {
		seed := uint64(*f.Seed)
		req.Seed = &seed
	}
	return req, nil
}

func outputLimit(f *fields) (ident.Tokens, error) {
	limit := f.MaxCompletionTokens
	param := "max_completion_tokens"
	if limit == nil {
		limit = f.MaxTokens
		param = "max_tokens"
	}
	if limit == nil {
		return 0, nil
	}
	if *limit < 1 || *limit > math.MaxInt32 {
		return 0, &RequestError{Param: param, Reason: "a positive 32-bit number is needed"}
	}
	return ident.Tokens(*limit), nil
}

func chatPrompt(messages []message) ([]byte, error) {
	var prompt bytes.Buffer
	for i, m := range messages {
		text, err := contentText(m.Content)
		if err != nil {
			err.Param = fmt.Sprintf("messages[%d].content", i)
			return nil, err
		}
		if m.Role == "" {
			return nil, &RequestError{Param: fmt.Sprintf("messages[%d].role", i), Reason: "a role is needed"}
		}
		prompt.Grow(len(m.Role) + len(text) + len("\x1f\x1e"))
		prompt.WriteString(m.Role)
		prompt.WriteByte(roleSeparator)
		prompt.WriteString(text)
		prompt.WriteByte(messageSeparator)
	}
	return prompt.Bytes(), nil
}

func contentText(raw json.RawMessage) (string, *RequestError) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", nil
	}
	if raw[0] == '"' {
		text, err := decodeText(raw)
		if err != nil {
			return "", &RequestError{Reason: "not a valid string", Err: err}
		}
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", &RequestError{Reason: "a string or a list of text parts is needed", Err: err}
	}
	var text bytes.Buffer
	for _, part := range parts {
		if part.Type != "text" {
			return "", &RequestError{Reason: fmt.Sprintf("parts of type %q are not supported, only text", part.Type)}
		}
		text.WriteString(part.Text)
	}
	return text.String(), nil
}
