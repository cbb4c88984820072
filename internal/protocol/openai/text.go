package openai

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"
)

// shortEscapes maps the character after the backslash of a two-character JSON escape to the byte that it stands for, 0
// if there is no such escape.
var shortEscapes = [256]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// decodeText returns the value of a JSON string. The string must come from a body whose syntax the JSON decoder has
// checked: prompts are long, and a second decoding would check them again byte by byte.
func decodeText(raw []byte) (string, error) {
	if text, ok := unescape(raw); ok {
		return text, nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return text, err
}

// unescape returns the value of a JSON string. It returns false if raw is no string, has \u escapes or is not valid
// UTF-8.
func unescape(raw []byte) (string, bool) {
	if len(raw) < 2 || raw[0] != '"' || raw[len(raw)-1] != '"' || !utf8.Valid(raw) {
		return "", false
	}
	remaining := raw[1 : len(raw)-1]
	var text strings.Builder
	text.Grow(len(remaining))
	for {
		plain, escaped, found := bytes.Cut(remaining, []byte{'\\'})
		text.Write(plain)
		if !found {
			return text.String(), true
		}
		if len(escaped) == 0 || shortEscapes[escaped[0]] == 0 {
			return "", false
		}
		text.WriteByte(shortEscapes[escaped[0]])
		remaining = escaped[1:]
	}
}
