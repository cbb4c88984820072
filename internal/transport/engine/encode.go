package engine

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// reservedParameters are the normalized names of the fields of Request. Sampling parameters of a caller with such a name are
// dropped, so that a caller cannot set the cache salt or the version, say. Comparing normalized names covers the spellings
// that an engine with a lenient JSON decoder may accept.
var reservedParameters = map[string]bool{
	"model": true, "prompt": true, "maxtokens": true, "seed": true, "stream": true, "requestid": true, "cachesalt": true,
	"version": true, "adapter": true, "priority": true, "resumefrom": true, "importblocks": true,
}

// encodeRequest returns the JSON body of a request, with its sampling parameters as further top-level fields. The error is
// a *FormatError if the sampling parameters are not a JSON object.
func encodeRequest(req *extern.EngineRequest) ([]byte, error) {
	body, err := json.Marshal(newRequest(req))
	if err != nil || len(req.Sampling) == 0 {
		return body, err
	}
	if !gjson.ValidBytes(req.Sampling) {
		return nil, &FormatError{Reason: "the sampling parameters are not JSON"}
	}
	parameters := gjson.ParseBytes(req.Sampling)
	if !parameters.IsObject() {
		return nil, &FormatError{Reason: "the sampling parameters are not an object"}
	}
	body = body[:len(body)-1]
	parameters.ForEach(func(key, value gjson.Result) bool {
		if !reservedParameters[normalizeName(key.Str)] {
			body = append(body, ',')
			body = append(body, key.Raw...)
			body = append(body, ':')
			body = append(body, value.Raw...)
		}
		return true
	})
	return append(body, '}'), nil
}

// normalizeName returns a field name in lower case and without separators.
func normalizeName(name string) string {
	return strings.Map(func(c rune) rune {
		switch c {
		case '_', '-', ' ', '.':
			return -1
		case 'ſ': // case folding makes it s
			return 's'
		case '\u212a': // Kelvin sign; case folding makes it k
			return 'k'
		default:
			return c
		}
	}, strings.ToLower(name))
}

func newRequest(req *extern.EngineRequest) *Request {
	return &Request{
		Model:        string(req.Model),
		Prompt:       string(req.Prompt),
		MaxTokens:    req.MaxTokens,
		Seed:         req.Seed,
		Stream:       true,
		RequestID:    req.Request,
		CacheSalt:    string(req.Organisation),
		Version:      req.Version,
		Adapter:      req.Adapter,
		Priority:     req.Priority,
		ResumeFrom:   req.ResumeFrom,
		ImportBlocks: req.ImportBlocks,
	}
}
