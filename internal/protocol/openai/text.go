package openai

import (
	"bytes"
	"encoding/json"
	"strings"
	"unicode/utf8"
)

// escapes gives the byte that a short JSON escape stands for, 0 for none.
var escapes = [256]byte{
	'"': '"', '\\': '\\', '/': '/', 'b': '\b', 'f': '\f', 'n': '\n', 'r': '\r', 't': '\t',
}

// decodeText returns the text of a JSON string from a body that has been decoded, so that its syntax is known to be
// valid. Prompts are long, and the decoder would check them again byte by byte.
func decodeText(raw []byte) (string, error) {
	if text, ok := unescape(raw); ok {
		return text, nil
	}
	var text string
	err := json.Unmarshal(raw, &text)
	return text, err
}

// unescape gives up on what is no string, has escapes of code points or is not UTF-8.
func unescape(raw []byte) (string, bool) {
	if len(raw) < 2 || raw[0] != '"' || raw[len(raw)-1] != '"' || !utf8.Valid(raw) {
		return "", false
	}
	rest := raw[1 : len(raw)-1]
	var text strings.Builder
	text.Grow(len(rest))
	for {
		plain, escaped, found := bytes.Cut(rest, []byte{'\\'})
		text.Write(plain)
		if !found {
			return text.String(), true
		}
		if len(escaped) == 0 || escapes[escaped[0]] == 0 {
			return "", false
		}
		text.WriteByte(escapes[escaped[0]])
		rest = escaped[1:]
	}
}
