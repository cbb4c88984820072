package plain

import (
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/gooseberryway/gooseberryway/internal/state/guard"
)

// upstreamHeader returns the caller's header without hop-by-hop and reserved headers and without any header that contains
// the caller's key.
func upstreamHeader(h http.Header, key string) http.Header {
	out := make(http.Header, len(h)+4)
	dropped := connectionHeaders(h)
	for name, values := range h {
		name = http.CanonicalHeaderKey(name)
		if slices.Contains(hopByHopHeaders, name) || slices.Contains(reservedHeaders, name) || slices.Contains(dropped, name) {
			continue
		}
		if key != "" && anyContainsKey(values, key) {
			continue
		}
		out[name] = values
	}
	return out
}

// callerHeader removes hop-by-hop headers from the upstream's header, in place, and returns it.
func callerHeader(h http.Header) http.Header {
	dropped := connectionHeaders(h)
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	for _, name := range dropped {
		h.Del(name)
	}
	return h
}

// connectionHeaders returns the canonical names of the headers that the Connection header lists.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			names = append(names, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return names
}

// queryWithoutKey returns the query without the parameters that contain the key.
func queryWithoutKey(raw, key string) string {
	if key == "" || !urlContainsKey(raw, key) {
		return raw
	}
	var kept []string
	for part := range strings.SplitSeq(raw, "&") {
		if !urlContainsKey(part, key) {
			kept = append(kept, part)
		}
	}
	return strings.Join(kept, "&")
}

// urlContainsKey reports whether a part of a URL contains the key, escaped or not.
func urlContainsKey(part, key string) bool {
	if strings.Contains(part, key) {
		return true
	}
	unescaped, err := url.QueryUnescape(part)
	return err == nil && strings.Contains(unescaped, key)
}

func anyContainsKey(values []string, key string) bool {
	return slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, key) })
}

// checkKeyStripped reports whether a request does not contain the caller's key. A request that does violates
// guard.KeyStripped and must not be sent.
func checkKeyStripped(req *http.Request, key string) bool {
	if key == "" {
		return true
	}
	ok := !urlContainsKey(req.URL.EscapedPath(), key) && !urlContainsKey(req.URL.RawQuery, key)
	for _, values := range req.Header {
		ok = ok && !anyContainsKey(values, key)
	}
	return guard.Check(ok, guard.KeyStripped, "request to %s contains the caller's key", req.URL.Host)
}
