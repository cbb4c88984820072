package engine

import (
	"encoding/json"
	"strings"

	"github.com/tidwall/gjson"

	"github.com/gooseberryway/gooseberryway/internal/state/extern"
)

// reserved are the normalized names of the fields of Request. A caller's sampling parameters must not set them, and
// with them the cache salt or the version, in any spelling that some engine may take for one of them.
var reserved = map[string]bool{
	"model": true, "prompt": true, "maxtokens": true, "seed": true, "stream": true, "requestid": true, "cachesalt": true,
	"version": true, "adapter": true, "priority": true, "resumefrom": true, "importblocks": true,
}

// encodeRequest returns the body of a request, with its sampling parameters beside the fields of Request.
func encodeRequest(req *extern.EngineRequest) ([]byte, error) {
	body, err := json.Marshal(requestOf(req))
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
		if !reserved[normalized(key.Str)] {
			body = append(body, ',')
			body = append(body, key.Raw...)
			body = append(body, ':')
			body = append(body, value.Raw...)
		}
		return true
	})
	return append(body, '}'), nil
}

// normalized returns a field name without case and separators.
func normalized(name string) string {
	return strings.Map(func(c rune) rune {
		switch c {
		case '_', '-', ' ', '.':
			return -1
		case 'ſ': // folds to s
			return 's'
		case '\u212a': // the Kelvin sign folds to k
			return 'k'
		default:
			return c
		}
	}, strings.ToLower(name))
}

func requestOf(req *extern.EngineRequest) *Request {
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
