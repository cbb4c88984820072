package openai

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// own names the parameters in fields; they are left out of Request.Sampling.
var own = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "stream", "stream_options", "seed", "n",
}

// isOwn ignores case as the decoder of fields does, so that nothing that it read is passed on.
func isOwn(name string) bool {
	return slices.ContainsFunc(own, func(o string) bool { return strings.EqualFold(o, name) })
}

// parameter is a member of the body as it stands there.
type parameter struct {
	name, value string
}

// otherParameters returns the parameters of the body that are not in fields as a JSON object with sorted keys. The body
// must be valid JSON.
func otherParameters(body []byte) ([]byte, error) {
	others, ok := scanParameters(body)
	if !ok {
		return decodeParameters(body)
	}
	if len(others) == 0 {
		return nil, nil
	}
	rest := []byte{'{'}
	for i, p := range others {
		if i > 0 {
			rest = append(rest, ',')
		}
		rest = append(rest, '"')
		rest = append(rest, p.name...)
		rest = append(rest, '"', ':')
		rest = append(rest, p.value...)
	}
	return append(rest, '}'), nil
}

// scanParameters returns the other parameters sorted by name. It gives up on names that are not plain ASCII or occur
// twice.
func scanParameters(body []byte) (others []parameter, ok bool) {
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return nil, false
	}
	ok = true
	object.ForEach(func(key, value gjson.Result) bool {
		ok = isPlain(key)
		if ok && !isOwn(key.Str) {
			others = append(others, parameter{name: key.Str, value: value.Raw})
		}
		return ok
	})
	slices.SortFunc(others, func(a, b parameter) int { return cmp.Compare(a.name, b.name) })
	for i := 1; i < len(others); i++ {
		ok = ok && others[i].name != others[i-1].name
	}
	return others, ok
}

// isPlain reports whether a name stands in the body as it is meant.
func isPlain(key gjson.Result) bool {
	for i := range len(key.Raw) {
		if c := key.Raw[i]; c < ' ' || c > '~' || c == '\\' {
			return false
		}
	}
	return true
}

// decodeParameters does the same for any names; the last of equal ones counts.
func decodeParameters(body []byte) ([]byte, error) {
	var all map[string]json.RawMessage
	if err := json.Unmarshal(body, &all); err != nil {
		return nil, &RequestError{Reason: "the body is not a JSON object", Err: err}
	}
	maps.DeleteFunc(all, func(name string, _ json.RawMessage) bool { return isOwn(name) })
	if len(all) == 0 {
		return nil, nil
	}
	rest, err := json.Marshal(all)
	if err != nil {
		return nil, &RequestError{Reason: "the parameters can't be passed on", Err: err}
	}
	return rest, nil
}
