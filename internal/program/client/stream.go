package client

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
)

// streamEvent is the data of an event of a stream: a piece of the completion, the usage, or an error.
type streamEvent struct {
	Choices []openai.Choice `json:"choices"`
	Usage   *openai.Usage   `json:"usage"`
	Error   *openai.Error   `json:"error"`
}

// endMark is the data of the event that ends a complete stream.
const endMark = "[DONE]"

// readStream reads server-sent events up to the end mark. The error is an *APIError or a *TruncatedStreamError.
func readStream(r io.Reader, start time.Time) (*Response, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	response := &Response{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMark {
			response.Text = text.String()
			return response, nil
		}
		var e streamEvent
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return nil, &TruncatedStreamError{Err: err}
		}
		if e.Error != nil {
			return nil, &APIError{Detail: *e.Error, InStream: true}
		}
		response.applyEvent(&e, &text, start)
	}
	return nil, &TruncatedStreamError{Err: scanner.Err()}
}

// applyEvent adds an event to the response. The first text sets the TTFT.
func (r *Response) applyEvent(e *streamEvent, text *strings.Builder, start time.Time) {
	if e.Usage != nil {
		r.Usage = *e.Usage
	}
	for _, choice := range e.Choices {
		if choice.FinishReason != nil {
			r.FinishReason = *choice.FinishReason
		}
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		if r.TTFT == 0 {
			r.TTFT = time.Since(start)
		}
		text.WriteString(choice.Delta.Content)
	}
}
