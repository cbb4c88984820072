package openai

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Kind tells the two kinds of completions apart; their answers differ in shape.
type Kind int

// Kinds of completions.
const (
	KindChat Kind = iota
	KindText
)

// Values of the object field of answers.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	objectModel     = "model"
	objectList      = "list"
)

// Usage counts the tokens of an answer.
type Usage struct {
	PromptTokens        ident.Tokens        `json:"prompt_tokens"`
	CompletionTokens    ident.Tokens        `json:"completion_tokens"`
	TotalTokens         ident.Tokens        `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails tells how many prompt tokens came from a prefix cache.
type PromptTokensDetails struct {
	CachedTokens ident.Tokens `json:"cached_tokens"`
}

// NewUsage returns the usage of an answer.
func NewUsage(prompt, cached, output ident.Tokens) *Usage {
	return &Usage{
		PromptTokens:        prompt,
		CompletionTokens:    output,
		TotalTokens:         prompt + output,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: cached},
	}
}

// Response is a whole answer, not streamed.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of an answer or chunk.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// Message is a chat message.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// NewResponse returns a whole answer.
func NewResponse(kind Kind, id ident.RequestID, model ident.ModelID, text, finish string, usage *Usage) *Response {
	answer := &Response{
		ID:      string(id),
		Object:  objectChat,
		Created: time.Now().Unix(),
		Model:   string(model),
		Usage:   usage,
	}
	choice := Choice{FinishReason: &finish}
	if kind == KindText {
		answer.Object = objectText
		choice.Text = &text
	} else {
		choice.Message = &Message{Role: "assistant", Content: text}
	}
	answer.Choices = []Choice{choice}
	return answer
}

// Bytes that a chunk takes beside the request's id and model: before its choices, and for these with a short text.
const (
	headBytes = 96
	tailBytes = 160
)

// ChunkWriter encodes the chunks of one streamed answer as server-sent events into a buffer that it reuses.
type ChunkWriter struct {
	kind Kind
	head []byte
	buf  []byte
}

// NewChunkWriter returns a writer for the stream of one request.
func NewChunkWriter(kind Kind, id ident.RequestID, model ident.ModelID) *ChunkWriter {
	object := objectChatChunk
	if kind == KindText {
		object = objectText
	}
	head := make([]byte, 0, len(id)+len(model)+headBytes)
	head = append(head, `data: {"id":`...)
	head = strconv.AppendQuote(head, string(id))
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendString(head, string(model))
	return &ChunkWriter{kind: kind, head: head, buf: make([]byte, 0, len(head)+tailBytes)}
}

// Delta returns the event of a piece of text. The result is valid until the next call.
func (c *ChunkWriter) Delta(text string) []byte {
	c.buf = append(c.buf[:0], c.head...)
	if c.kind == KindText {
		c.buf = append(c.buf, `,"choices":[{"index":0,"text":`...)
		c.buf = appendString(c.buf, text)
		c.buf = append(c.buf, `,"finish_reason":null}]}`...)
	} else {
		c.buf = append(c.buf, `,"choices":[{"index":0,"delta":{"role":"assistant","content":`...)
		c.buf = appendString(c.buf, text)
		c.buf = append(c.buf, `},"finish_reason":null}]}`...)
	}
	c.buf = append(c.buf, "\n\n"...)
	return c.buf
}

// Finish returns the events that end a complete stream. The result is valid until the next call.
func (c *ChunkWriter) Finish(reason string, usage *Usage) []byte {
	c.buf = append(c.buf[:0], c.head...)
	if c.kind == KindText {
		c.buf = append(c.buf, `,"choices":[{"index":0,"text":"","finish_reason":`...)
	} else {
		c.buf = append(c.buf, `,"choices":[{"index":0,"delta":{"content":""},"finish_reason":`...)
	}
	c.buf = appendString(c.buf, reason)
	c.buf = append(c.buf, "}]}\n\n"...)
	if usage != nil {
		c.buf = append(c.buf, c.head...)
		c.buf = append(c.buf, `,"choices":[],"usage":`...)
		c.buf = appendJSON(c.buf, usage)
		c.buf = append(c.buf, "}\n\n"...)
	}
	c.buf = append(c.buf, "data: [DONE]\n\n"...)
	return c.buf
}

// Fail returns the event that tells the caller that the stream ends incomplete.
func (c *ChunkWriter) Fail(e *Error) []byte {
	c.buf = append(c.buf[:0], "data: "...)
	c.buf = appendJSON(c.buf, ErrorBody{Error: *e})
	c.buf = append(c.buf, "\n\n"...)
	return c.buf
}

// appendString appends a JSON string. Plain ASCII needs no allocation.
func appendString(dst []byte, s string) []byte {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return appendJSON(dst, s)
		}
	}
	dst = append(dst, '"')
	dst = append(dst, s...)
	return append(dst, '"')
}

func appendJSON(dst []byte, v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		return append(dst, "null"...)
	}
	return append(dst, raw...)
}

// Model is an entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// ModelList is the answer to a request for the models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns a list of the models in the given order.
func NewModelList(ids []ident.ModelID) *ModelList {
	list := &ModelList{Object: objectList, Data: make([]Model, 0, len(ids))}
	for _, id := range ids {
		list.Data = append(list.Data, Model{ID: string(id), Object: objectModel, OwnedBy: "gooseberryway"})
	}
	return list
}
