package client

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/protocol/openai"
)

// event is any event of a stream.
type event struct {
	Choices []openai.Choice `json:"choices"`
	Usage   *openai.Usage   `json:"usage"`
	Error   *openai.Error   `json:"error"`
}

// endMark is the data of the event that ends a complete stream.
const endMark = "[DONE]"

// readStream reads server-sent events up to the end mark.
func readStream(r io.Reader, began time.Time) (*Response, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	var text strings.Builder
	answer := &Response{}
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == endMark {
			answer.Text = text.String()
			return answer, nil
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return nil, &TruncatedStreamError{Err: err}
		}
		if e.Error != nil {
			return nil, &APIError{Detail: *e.Error, InStream: true}
		}
		answer.take(&e, &text, began)
	}
	return nil, &TruncatedStreamError{Err: scanner.Err()}
}

// take adds an event to the answer.
func (a *Response) take(e *event, text *strings.Builder, began time.Time) {
	if e.Usage != nil {
		a.Usage = *e.Usage
	}
	for _, choice := range e.Choices {
		if choice.FinishReason != nil {
			a.FinishReason = *choice.FinishReason
		}
		if choice.Delta == nil || choice.Delta.Content == "" {
			continue
		}
		if a.TTFT == 0 {
			a.TTFT = time.Since(began)
		}
		text.WriteString(choice.Delta.Content)
	}
}
