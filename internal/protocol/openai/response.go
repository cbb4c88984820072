package openai

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// Kind is the kind of a completion. Chat and plain completions have differently shaped responses.
type Kind int

// Kinds of completions.
const (
	KindChat Kind = iota
	KindText
)

// Values of the object field of responses.
const (
	objectChat      = "chat.completion"
	objectChatChunk = "chat.completion.chunk"
	objectText      = "text_completion"
	objectModel     = "model"
	objectList      = "list"
)

// Usage counts the tokens of a request and its response.
type Usage struct {
	PromptTokens        ident.Tokens        `json:"prompt_tokens"`
	CompletionTokens    ident.Tokens        `json:"completion_tokens"`
	TotalTokens         ident.Tokens        `json:"total_tokens"`
	PromptTokensDetails PromptTokensDetails `json:"prompt_tokens_details"`
}

// PromptTokensDetails counts the prompt tokens that came from a prefix cache.
type PromptTokensDetails struct {
	CachedTokens ident.Tokens `json:"cached_tokens"`
}

// NewUsage returns the usage for the given numbers of prompt, cached prompt and output tokens.
func NewUsage(prompt, cached, output ident.Tokens) *Usage {
	return &Usage{
		PromptTokens:        prompt,
		CompletionTokens:    output,
		TotalTokens:         prompt + output,
		PromptTokensDetails: PromptTokensDetails{CachedTokens: cached},
	}
}

// Response is the body of a response that is not streamed.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of a response or chunk.
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

// NewResponse returns the complete response to a request that is not streamed.
func NewResponse(kind Kind, id ident.RequestID, model ident.ModelID, text, finish string, usage *Usage) *Response {
	response := &Response{
		ID:      string(id),
		Object:  objectChat,
		Created: time.Now().Unix(),
		Model:   string(model),
		Usage:   usage,
	}
	choice := Choice{FinishReason: &finish}
	if kind == KindText {
		response.Object = objectText
		choice.Text = &text
	} else {
		choice.Message = &Message{Role: "assistant", Content: text}
	}
	response.Choices = []Choice{choice}
	return response
}

// Initial buffer sizes. chunkHeadBytes is for the part of a chunk before its choices, without the request's id and the
// model, which are added; chunkTailBytes is for the choices with a short text.
const (
	chunkHeadBytes = 96
	chunkTailBytes = 160
)

// ChunkWriter encodes the chunks of one streamed response as server-sent events into a buffer that it reuses.
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
	head := make([]byte, 0, len(id)+len(model)+chunkHeadBytes)
	head = append(head, `data: {"id":`...)
	head = strconv.AppendQuote(head, string(id))
	head = append(head, `,"object":"`+object+`","created":`...)
	head = strconv.AppendInt(head, time.Now().Unix(), 10)
	head = append(head, `,"model":`...)
	head = appendString(head, string(model))
	return &ChunkWriter{kind: kind, head: head, buf: make([]byte, 0, len(head)+chunkTailBytes)}
}

// Delta returns the event for a piece of text. The result is valid until the next call of any method.
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

// Finish returns the events that end a complete stream: the finish reason, the usage unless it is nil, and [DONE]. The
// result is valid until the next call of any method.
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

// Fail returns the error event that ends an incomplete stream. The result is valid until the next call of any method.
func (c *ChunkWriter) Fail(e *Error) []byte {
	c.buf = append(c.buf[:0], "data: "...)
	c.buf = appendJSON(c.buf, ErrorBody{Error: *e})
	c.buf = append(c.buf, "\n\n"...)
	return c.buf
}

// appendString appends s as a JSON string, without an allocation if it is printable ASCII that needs no escapes.
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

// ModelList is the response to a request for the list of models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// NewModelList returns the model list with the models in the given order.
func NewModelList(ids []ident.ModelID) *ModelList {
	list := &ModelList{Object: objectList, Data: make([]Model, 0, len(ids))}
	for _, id := range ids {
		list.Data = append(list.Data, Model{ID: string(id), Object: objectModel, OwnedBy: "gooseberryway"})
	}
	return list
}
