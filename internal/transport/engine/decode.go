package engine

import (
	"github.com/tidwall/gjson"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// decodedChunk is a Chunk whose choice and usage are stored by value, to save allocations.
type decodedChunk struct {
	Chunk
	choice      Choice
	choiceCount int
	usage       Usage
	// hasUsage is set on the last chunk of a response.
	hasUsage bool
}

// decodeChunk parses a Chunk. It returns false if data is not a JSON object with exactly one choice. The strings of the
// result share one allocated copy of data.
func decodeChunk(data []byte) (decodedChunk, bool) {
	var d decodedChunk
	if !gjson.ValidBytes(data) {
		return d, false
	}
	object := gjson.ParseBytes(data)
	if !object.IsObject() {
		return d, false
	}
	object.ForEach(func(key, value gjson.Result) bool {
		d.set(key.Str, value)
		return true
	})
	return d, d.choiceCount == 1
}

func (d *decodedChunk) set(key string, value gjson.Result) {
	switch key {
	case "id":
		d.ID = ident.RequestID(value.String())
	case "tokenIndex":
		d.TokenIndex = ident.Tokens(value.Int())
	case "tokenCount":
		d.TokenCount = ident.Tokens(value.Int())
	case "choices":
		d.setChoices(value)
	case "usage":
		d.setUsage(value)
	}
}

func (d *decodedChunk) setChoices(value gjson.Result) {
	value.ForEach(func(_, choice gjson.Result) bool {
		d.choiceCount++
		choice.ForEach(func(key, value gjson.Result) bool {
			switch key.Str {
			case "text":
				d.choice.Text = value.String()
			case "finish_reason":
				d.choice.FinishReason = value.String()
			}
			return true
		})
		return true
	})
}

func (d *decodedChunk) setUsage(value gjson.Result) {
	if !value.IsObject() {
		return
	}
	d.hasUsage = true
	value.ForEach(func(key, value gjson.Result) bool {
		switch key.Str {
		case "prompt_tokens":
			d.usage.PromptTokens = ident.Tokens(value.Int())
		case "completion_tokens":
			d.usage.CompletionTokens = ident.Tokens(value.Int())
		case "cachedTokens":
			d.usage.CachedTokens = ident.Tokens(value.Int())
		}
		return true
	})
}
