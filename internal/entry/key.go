package entry

import (
	"bytes"
	"crypto/sha256"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxDecodeDepth is how many times a value is percent-decoded in the search for a key.
	maxDecodeDepth = 3
	// minUnknownKeyLength is the length in bytes from which an unknown key on an
	// open route is searched for in the rest of the request. Shorter strings occur
	// there by chance.
	minUnknownKeyLength = 16
)

// presentedKeys returns the distinct keys of a request from all values of the
// headers Authorization, with the given scheme, and X-Api-Key.
func presentedKeys(h http.Header, scheme string) []string {
	var keys []string
	for _, v := range h["Authorization"] {
		prefix, key, ok := strings.Cut(strings.TrimSpace(v), " ")
		if ok && strings.EqualFold(prefix, scheme) {
			keys = append(keys, strings.TrimSpace(key))
		}
	}
	for _, v := range h[headerAPIKey] {
		keys = append(keys, strings.TrimSpace(v))
	}
	keys = slices.DeleteFunc(keys, func(k string) bool { return k == "" })
	slices.Sort(keys)
	return slices.Compact(keys)
}

// resolveKey returns the configured key that a request presents, given the
// distinct keys of the request. Only digests are compared, and errors never
// contain a key.
func resolveKey(cfg model.Config, presented []string) (model.Key, *ErrRefused) {
	switch len(presented) {
	case 0:
		return model.Key{}, refuse(http.StatusUnauthorized, CodeNoKey, "the request has no key; send it as \"Authorization: Bearer KEY\" or \"X-Api-Key: KEY\"")
	case 1:
	default:
		return model.Key{}, refuse(http.StatusUnauthorized, CodeKeyMismatch, "the request has different keys; send one key, once")
	}
	key, ok := cfg.KeyFor(sha256.Sum256([]byte(presented[0])))
	if !ok {
		return model.Key{}, refuse(http.StatusUnauthorized, CodeUnknownKey, "the key is unknown or was withdrawn; ask the operators for a valid key")
	}
	return key, nil
}

// keyFilter finds the keys of a request in its parts and removes them from what a
// target sees.
type keyFilter struct{ keys []string }

// newKeyFilter returns a filter for the keys that a request presents. On an open
// route it leaves out keys that are neither known nor long.
func newKeyFilter(cfg model.Config, keys []string, open bool) keyFilter {
	if !open {
		return keyFilter{keys: keys}
	}
	return keyFilter{keys: slices.DeleteFunc(slices.Clone(keys), func(k string) bool {
		_, known := cfg.Keys.Get(sha256.Sum256([]byte(k)))
		return !known && len(k) < minUnknownKeyLength
	})}
}

// foundInValue reports whether a value contains a key, as it is or percent-encoded
// up to maxDecodeDepth times.
func (f keyFilter) foundInValue(value string) bool {
	for range maxDecodeDepth + 1 {
		if f.foundUndecoded(value) {
			return true
		}
		// A query may encode a space as a plus sign.
		if strings.Contains(value, "+") && f.foundUndecoded(strings.ReplaceAll(value, "+", " ")) {
			return true
		}
		next := decodePercent(value)
		if next == value {
			return false
		}
		value = next
	}
	return f.foundUndecoded(value)
}

// foundUndecoded reports whether a value contains a key as it is.
func (f keyFilter) foundUndecoded(value string) bool {
	return slices.ContainsFunc(f.keys, func(k string) bool { return strings.Contains(value, k) })
}

// foundInBody reports whether body contains a key as it is.
func (f keyFilter) foundInBody(body []byte) bool {
	return slices.ContainsFunc(f.keys, func(k string) bool { return bytes.Contains(body, []byte(k)) })
}

// foundInName reports whether a header name contains a key. It ignores case, since
// net/http changes header names to their canonical case.
func (f keyFilter) foundInName(name string) bool {
	return slices.ContainsFunc(f.keys, func(k string) bool {
		return strings.Contains(strings.ToLower(name), strings.ToLower(k))
	})
}

// decodePercent decodes valid percent-escapes and keeps invalid ones. The functions
// of net/url reject a value with one invalid escape, which would hide a key in the
// rest of it.
func decodePercent(s string) string {
	if !strings.Contains(s, "%") {
		return s
	}
	var b strings.Builder
	for i := 0; i < len(s); i++ {
		if s[i] == '%' && i+2 < len(s) {
			if part, err := url.PathUnescape(s[i : i+3]); err == nil {
				b.WriteString(part)
				i += 2
				continue
			}
		}
		b.WriteByte(s[i])
	}
	return b.String()
}

// targetQuery returns the raw query that a target sees: without the parameters
// that contain a key.
func (f keyFilter) targetQuery(raw string) string {
	if len(f.keys) == 0 || raw == "" {
		return raw
	}
	parts := strings.Split(raw, "&")
	parts = slices.DeleteFunc(parts, f.foundInValue)
	// A key that is split over two parameters must not reach a target that joins them.
	kept := strings.Join(parts, "&")
	if f.foundInValue(kept) {
		return ""
	}
	return kept
}

// targetHeader returns the headers that a target sees: without keys, headers of
// the connection and headers that only the fleet may set.
func (f keyFilter) targetHeader(in http.Header) http.Header {
	listed := connectionHeaders(in)
	out := make(http.Header, len(in)+4)
	for name, values := range in {
		if isHopByHop(name) || isReservedHeader(name) || slices.Contains(listed, name) || f.foundInName(name) {
			continue
		}
		if len(f.keys) > 0 {
			values = slices.DeleteFunc(slices.Clone(values), f.foundInValue)
		}
		if len(values) > 0 {
			out[name] = values
		}
	}
	return out
}

// targetTrailer returns the trailers that a target sees. Beyond what targetHeader
// removes, it removes fields that trailers must not set, such as those for framing.
func (f keyFilter) targetTrailer(in http.Header) http.Header {
	out := f.targetHeader(in)
	for _, name := range []string{"Content-Length", "Host", "Content-Encoding", "Content-Type", "Trailer", headerOrderKey} {
		out.Del(name)
	}
	return out
}

// targetTrailerNames returns the names that targetTrailer keeps, without values,
// which are known only after the body.
func (f keyFilter) targetTrailerNames(in http.Header) http.Header {
	names := make(http.Header, len(in))
	for name := range in {
		names[name] = []string{""}
	}
	out := f.targetTrailer(names)
	for name := range out {
		out[name] = nil
	}
	return out
}

// connectionHeaders returns the names of the headers that the header Connection
// lists, in canonical case.
func connectionHeaders(h http.Header) []string {
	var names []string
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = strings.TrimSpace(name); name != "" {
				names = append(names, http.CanonicalHeaderKey(name))
			}
		}
	}
	return names
}

// isHopByHop reports whether a header, named in canonical case, concerns one
// connection only and is not forwarded.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Proxy-Authentication-Info", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return false
	}
}

// isReservedHeader reports whether only the fleet may set a header towards targets.
// Underscores count as dashes, because some servers do not distinguish them.
func isReservedHeader(name string) bool {
	switch strings.ReplaceAll(strings.ToLower(name), "_", "-") {
	case "authorization", "x-api-key", "x-request-id", "x-deadline-ms", "x-workspace", "x-outcome", "x-shed",
		"content-length", "expect", "host":
		return true
	default:
		return false
	}
}
