package engine

import (
	"github.com/tidwall/gjson"

	"github.com/gooseberryway/gooseberryway/internal/state/ident"
)

// decoded is a Chunk with its only choice and its usage held by value.
type decoded struct {
	Chunk
	choice  Choice
	choices int
	usage   Usage
	// last is true if the chunk has usage.
	last bool
}

// decodeChunk reads a Chunk and reports whether it is one with exactly one choice. It allocates one string, of which
// the strings of the result are parts.
func decodeChunk(data []byte) (decoded, bool) {
	var d decoded
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
	return d, d.choices == 1
}

func (d *decoded) set(key string, value gjson.Result) {
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

func (d *decoded) setChoices(value gjson.Result) {
	value.ForEach(func(_, choice gjson.Result) bool {
		d.choices++
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

func (d *decoded) setUsage(value gjson.Result) {
	if !value.IsObject() {
		return
	}
	d.last = true
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
