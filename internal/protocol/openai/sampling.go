package openai

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/tidwall/gjson"
)

// routerParameters are the JSON names in the struct type fields. These parameters are left out of Request.Sampling.
var routerParameters = []string{
	"model", "messages", "prompt", "max_tokens", "max_completion_tokens", "stream", "stream_options", "seed", "n",
}

// isRouterParameter reports whether the router reads the parameter itself. It ignores case as the JSON decoder does, so
// that no parameter that was decoded into fields is passed on as well.
func isRouterParameter(name string) bool {
	return slices.ContainsFunc(routerParameters, func(parameterName string) bool { return strings.EqualFold(parameterName, name) })
}

// parameter is a member of the body's JSON object with its raw value.
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
	sampling := []byte{'{'}
	for i, p := range others {
		if i > 0 {
			sampling = append(sampling, ',')
		}
		sampling = append(sampling, '"')
		sampling = append(sampling, p.name...)
		sampling = append(sampling, '"', ':')
		sampling = append(sampling, p.value...)
	}
	return append(sampling, '}'), nil
}

// scanParameters returns the parameters that are not in fields, sorted by name, without decoding their values. It
// returns false if the body is no object, or if a name is not printable ASCII, has an escape or occurs twice.
func scanParameters(body []byte) (others []parameter, ok bool) {
	object := gjson.ParseBytes(body)
	if !object.IsObject() {
		return nil, false
	}
	ok = true
	object.ForEach(func(key, value gjson.Result) bool {
		ok = isUnescapedASCII(key)
		if ok && !isRouterParameter(key.Str) {
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

// isUnescapedASCII reports whether a name is printable ASCII without escapes, so that its raw bytes are its value.
func isUnescapedASCII(key gjson.Result) bool {
	for i := range len(key.Raw) {
		if c := key.Raw[i]; c < ' ' || c > '~' || c == '\\' {
			return false
		}
	}
	return true
}

// decodeParameters returns the same as otherParameters but uses the JSON decoder, which accepts any names. Of equal
// names the last one counts.
func decodeParameters(body []byte) ([]byte, error) {
	var parameters map[string]json.RawMessage
	if err := json.Unmarshal(body, &parameters); err != nil {
		return nil, &RequestError{Reason: "the body is not a JSON object", Err: err}
	}
	maps.DeleteFunc(parameters, func(name string, _ json.RawMessage) bool { return isRouterParameter(name) })
	if len(parameters) == 0 {
		return nil, nil
	}
	sampling, err := json.Marshal(parameters)
	if err != nil {
		return nil, &RequestError{Reason: "the parameters can't be passed on", Err: err}
	}
	return sampling, nil
}
