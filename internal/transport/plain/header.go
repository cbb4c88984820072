package plain

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// forwarded returns the caller's header without the fields that must not be forwarded to an upstream.
func forwarded(h http.Header, key string) http.Header {
	out := make(http.Header, len(h)+4)
	dropped := connectionHeaders(h)
	for name, values := range h {
		name = http.CanonicalHeaderKey(name)
		if slices.Contains(hopByHop, name) || slices.Contains(callerOnly, name) || slices.Contains(dropped, name) {
			continue
		}
		if key != "" && containsKey(values, key) {
			continue
		}
		out[name] = values
	}
	return out
}

// responseHeader returns the upstream's response header without hop-by-hop fields.
func responseHeader(h http.Header) http.Header {
	dropped := connectionHeaders(h)
	for _, name := range hopByHop {
		h.Del(name)
	}
	for _, name := range dropped {
		h.Del(name)
	}
	return h
}

// connectionHeaders returns the canonical names of the headers that Connection names.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// strippedQuery returns the query without the parameters that contain the key.
func strippedQuery(raw, key string) string {
	if key == "" || !showsKey(raw, key) {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !showsKey(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// showsKey reports whether a part of a URL contains the key, escaped or not.
func showsKey(part, key string) bool {
	if strings.Contains(part, key) {
		return true
	}
	plain, err := url.QueryUnescape(part)
	return err == nil && strings.Contains(plain, key)
}

func containsKey(values []string, key string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, key) })
}

// checkStripped reports whether a request does not contain the caller's key.
func checkStripped(req *http.Request, key string) bool {
	if key == "" {
		return true
	}
	ok := !showsKey(req.URL.EscapedPath(), key) && !showsKey(req.URL.RawQuery, key)
	for _, values := range req.Header {
		ok = ok && !containsKey(values, key)
	}
	return guard.Check(ok, guard.KeyStripped, "a request to %s shows its caller's key", req.URL.Host)
}
