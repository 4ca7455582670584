package entry

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// maxChunkLine bounds a chunk-size line in bytes. Only chunk extensions, which
// have no use here, make a line longer.
const maxChunkLine = 256

// maxLengthDigits bounds the digits of a Content-Length or chunk size, which keeps
// the value within int64.
const maxLengthDigits = 15

var errChunk = errors.New("the chunked request body is malformed; send chunk sizes in hexadecimal and end each line with CR LF")

// framePart is the part of a request that a framer expects next.
type framePart int

const (
	partHeader framePart = iota
	// partFixed is a body whose length Content-Length gives.
	partFixed
	partChunkSize
	partChunkData
	// partChunkEnd is the line end after the data of a chunk.
	partChunkEnd
	partTrailer
	// partRefused is the state after a malformed request. Nothing more is parsed.
	partRefused
)

// framer parses the framing of the requests on a caller's connection, so that each
// header is checked before net/http parses it. net/http ignores Content-Length
// next to Transfer-Encoding and accepts bare LF, which lets a proxy and a target
// disagree on where a request ends (request smuggling).
type framer struct {
	part framePart
	// remaining is how many bytes are left of a body of known length or of a chunk.
	remaining int64
	// scanned is how many bytes of an incomplete header or trailer were checked.
	scanned int
	// limit bounds a header, and likewise a trailer, in bytes.
	limit int
}

// consume checks one element at the start of in and returns its length, or 0 if
// in holds no complete element. It returns an ErrRefused for a header and an
// error for a chunked body that is malformed.
func (f *framer) consume(in []byte) (int, *ErrRefused, error) {
	switch f.part {
	case partHeader:
		return f.consumeHeader(in)
	case partFixed, partChunkData:
		return f.consumeData(in), nil, nil
	case partChunkSize:
		n, err := f.consumeChunkSize(in)
		return n, nil, err
	case partChunkEnd:
		n, err := f.consumeChunkEnd(in)
		return n, nil, err
	case partTrailer:
		n, err := f.consumeTrailerLine(in)
		return n, nil, err
	default:
		return 0, nil, nil
	}
}

// consumeData returns how many bytes of in belong to the current body or chunk, and
// sets the part that follows once it has all of them.
func (f *framer) consumeData(in []byte) int {
	n := int(min(f.remaining, int64(len(in))))
	f.remaining -= int64(n)
	if f.remaining > 0 {
		return n
	}
	if f.part == partFixed {
		f.part = partHeader
	} else {
		f.part = partChunkEnd
	}
	return n
}

// consumeHeader checks a complete header and returns its length. f.scanned is
// where the search for the end of the header continues.
func (f *framer) consumeHeader(in []byte) (int, *ErrRefused, error) {
	for {
		i := bytes.IndexByte(in[f.scanned:], '\n')
		if i < 0 {
			if len(in) > f.limit {
				return 0, headerTooLarge(f.limit), nil
			}
			return 0, nil, nil
		}
		line := in[f.scanned : f.scanned+i]
		end := f.scanned + i + 1
		if end > f.limit {
			return 0, headerTooLarge(f.limit), nil
		}
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return 0, badFraming("a line ends with a bare LF; end every line with CR LF"), nil
		}
		if len(line) == 1 {
			return f.finishHeader(in[:end])
		}
		f.scanned = end
	}
}

// finishHeader checks the fields of a complete header and sets the part that follows.
func (f *framer) finishHeader(header []byte) (int, *ErrRefused, error) {
	f.scanned = 0
	length, chunked, refused := checkHeader(header)
	switch {
	case refused != nil:
		return 0, refused, nil
	case chunked:
		f.part = partChunkSize
	case length > 0:
		f.part = partFixed
		f.remaining = length
	}
	return len(header), nil, nil
}

// consumeChunkSize checks a chunk-size line and returns its length.
func (f *framer) consumeChunkSize(in []byte) (int, error) {
	line, n, err := completeLine(in, maxChunkLine)
	if n == 0 || err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	left, ok := parseDigits(string(bytes.TrimRight(size, " \t")), 16)
	if !ok {
		return 0, errChunk
	}
	f.remaining = left
	f.part = partChunkData
	if left == 0 {
		f.part = partTrailer
		f.scanned = 0
	}
	return n, nil
}

// consumeChunkEnd checks the line end after the data of a chunk and returns its length.
func (f *framer) consumeChunkEnd(in []byte) (int, error) {
	line, n, err := completeLine(in, 2)
	if n == 0 || err != nil {
		return 0, err
	}
	if len(line) != 0 {
		return 0, errChunk
	}
	f.part = partChunkSize
	return n, nil
}

// consumeTrailerLine checks one line of a trailer and returns its length. An empty
// line ends the request.
func (f *framer) consumeTrailerLine(in []byte) (int, error) {
	line, n, err := completeLine(in, f.limit)
	if n == 0 || err != nil {
		return 0, err
	}
	f.scanned += n
	if f.scanned > f.limit {
		return 0, errChunk
	}
	if len(line) == 0 {
		f.scanned = 0
		f.part = partHeader
		return n, nil
	}
	if _, _, ok := splitField(line); !ok {
		return 0, errChunk
	}
	return n, nil
}

// completeLine returns the first line without its CR LF, and its length with it
// or 0 if the line is not complete.
func completeLine(in []byte, limit int) ([]byte, int, error) {
	i := bytes.IndexByte(in, '\n')
	if i < 0 {
		if len(in) > limit {
			return nil, 0, errChunk
		}
		return nil, 0, nil
	}
	if i == 0 || in[i-1] != '\r' || i+1 > limit {
		return nil, 0, errChunk
	}
	return in[:i-1], i + 1, nil
}

// headerCheck collects what the fields of a header say about the request's framing.
type headerCheck struct {
	isHTTP10 bool
	// length is the value of Content-Length, or 0 without it.
	length int64
	// chunked is set if the header has Transfer-Encoding.
	chunked bool
	// counts holds the occurrences of the checked fields, by name in lower case.
	counts map[string]int
}

// checkHeader checks a complete header and returns the framing of the body that
// follows: its length, or that it is chunked.
func checkHeader(header []byte) (length int64, chunked bool, refused *ErrRefused) {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	isHTTP10, ok := checkRequestLine(lines[0])
	if !ok {
		return 0, false, badFraming("the request line is malformed; send method, target and HTTP/1.1 separated by single spaces")
	}
	c := &headerCheck{isHTTP10: isHTTP10, counts: map[string]int{}}
	for _, line := range lines[1:] {
		name, value, ok := splitField([]byte(line))
		if !ok {
			return 0, false, badFraming("a header line is malformed or folded; send each header as one line \"Name: value\"")
		}
		if refused := c.addField(name, value); refused != nil {
			return 0, false, refused
		}
	}
	return c.length, c.chunked, c.checkComplete()
}

// addField checks one field, given by its name in lower case.
func (c *headerCheck) addField(name, value string) *ErrRefused {
	switch name {
	case "content-length":
		length, ok := parseDigits(value, 10)
		if !ok {
			return badFraming("Content-Length is not a number; send it in decimal digits")
		}
		c.length = length
	case "transfer-encoding":
		if c.chunked = true; c.isHTTP10 || !strings.EqualFold(value, "chunked") {
			return badFraming("Transfer-Encoding is not supported in this form; send exactly \"chunked\" with HTTP/1.1")
		}
	case "host":
		if !validHost(value) {
			return badFraming("the Host header is malformed; send a host name or address with an optional port")
		}
	case "expect":
		if !strings.EqualFold(value, "100-continue") {
			return badFraming("Expect is not supported in this form; send \"100-continue\" or omit it")
		}
	default:
		return nil
	}
	c.counts[name]++
	if c.counts[name] > 1 {
		return badFraming("%s occurs more than once; send it once", http.CanonicalHeaderKey(name))
	}
	return nil
}

// checkComplete checks, after the last field, the rules that concern several fields.
func (c *headerCheck) checkComplete() *ErrRefused {
	if c.counts["content-length"] > 0 && c.chunked {
		return badFraming("the request has both Content-Length and Transfer-Encoding; send one of them")
	}
	if c.counts["host"] == 0 && !c.isHTTP10 {
		return badFraming("the Host header is missing; send it once")
	}
	return nil
}

// checkRequestLine reports whether the line is well-formed and whether it is of HTTP/1.0.
func checkRequestLine(line string) (isHTTP10, ok bool) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !validToken(parts[0]) || parts[1] == "" {
		return false, false
	}
	if _, err := url.ParseRequestURI(parts[1]); err != nil {
		return false, false
	}
	return parts[2] == "HTTP/1.0", parts[2] == "HTTP/1.0" || parts[2] == "HTTP/1.1"
}

// splitField returns a header's name in lower case and its trimmed value.
func splitField(line []byte) (name, value string, ok bool) {
	n, v, found := strings.Cut(string(line), ":")
	name, value = strings.ToLower(n), strings.Trim(v, " \t")
	return name, value, found && validToken(n) && validValue(value)
}

// validToken reports whether s is a token of RFC 9110, section 5.6.2.
func validToken(s string) bool {
	for _, b := range []byte(s) {
		if !isTokenByte(b) {
			return false
		}
	}
	return s != ""
}

func isTokenByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	default:
		return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	}
}

// validHost reports whether s has only characters of a host and port.
func validHost(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"#/<>?@\\^`{|}", r)
	})
}

// validValue reports whether s has no control characters except tabs.
func validValue(s string) bool {
	for _, b := range []byte(s) {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

// parseDigits parses a number that consists of digits of the base only. strconv
// also accepts signs and underscores, which are invalid here.
func parseDigits(s string, base int64) (int64, bool) {
	if s == "" || len(s) > maxLengthDigits {
		return 0, false
	}
	var n int64
	for _, b := range []byte(strings.ToLower(s)) {
		d := int64(strings.IndexByte("0123456789abcdef", b))
		if d < 0 || d >= base {
			return 0, false
		}
		n = n*base + d
	}
	return n, true
}

func badFraming(format string, args ...any) *ErrRefused {
	return refuse(http.StatusBadRequest, CodeBadFraming, format, args...).withClose()
}

func headerTooLarge(limit int) *ErrRefused {
	return refuse(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "the header exceeds %d bytes; send fewer or shorter headers", limit).withClose()
}
