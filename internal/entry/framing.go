package entry

import (
	"bytes"
	"errors"
	"net/http"
	"net/url"
	"strings"
)

// maxChunkLine bounds a chunk-size line; longer ones serve only to hide chunk extensions.
const maxChunkLine = 256

// maxLengthDigits keeps a Content-Length or chunk size within int64.
const maxLengthDigits = 15

var errChunk = errors.New("the chunked request body is malformed; send chunk sizes in hexadecimal and end each line with CR LF")

// framePart is the part of a request that a framer expects next.
type framePart int

const (
	partHeader framePart = iota
	partFixed
	partChunkSize
	partChunkData
	partChunkEnd
	partTrailer
	partRefused
)

// framer follows the requests on a caller's connection so that each header is
// checked before net/http parses it. net/http ignores Content-Length next to
// Transfer-Encoding and accepts bare LF, which lets a proxy and a target
// disagree on where a request ends.
type framer struct {
	part framePart
	// left counts the bytes that remain of a fixed body or chunk.
	left int64
	// seen counts the bytes of the header or trailer so far.
	seen  int
	limit int
}

// next consumes one element at the start of in. It returns 0 if in holds no whole element.
func (f *framer) next(in []byte) (int, *ErrRefused, error) {
	switch f.part {
	case partHeader:
		return f.header(in)
	case partFixed, partChunkData:
		return f.data(in), nil, nil
	case partChunkSize:
		n, err := f.chunkSize(in)
		return n, nil, err
	case partChunkEnd:
		n, err := f.chunkEnd(in)
		return n, nil, err
	case partTrailer:
		n, err := f.trailer(in)
		return n, nil, err
	default:
		return 0, nil, nil
	}
}

func (f *framer) data(in []byte) int {
	n := int(min(f.left, int64(len(in))))
	f.left -= int64(n)
	if f.left > 0 {
		return n
	}
	if f.part == partFixed {
		f.part = partHeader
	} else {
		f.part = partChunkEnd
	}
	return n
}

// header consumes a whole header. f.seen is where the search for its end goes on.
func (f *framer) header(in []byte) (int, *ErrRefused, error) {
	for {
		i := bytes.IndexByte(in[f.seen:], '\n')
		if i < 0 {
			if len(in) > f.limit {
				return 0, headerTooLarge(f.limit), nil
			}
			return 0, nil, nil
		}
		line := in[f.seen : f.seen+i]
		end := f.seen + i + 1
		if end > f.limit {
			return 0, headerTooLarge(f.limit), nil
		}
		if len(line) == 0 || line[len(line)-1] != '\r' {
			return 0, badFraming("a line ends with a bare LF; end every line with CR LF"), nil
		}
		if len(line) == 1 {
			return f.endHeader(in[:end])
		}
		f.seen = end
	}
}

func (f *framer) endHeader(header []byte) (int, *ErrRefused, error) {
	f.seen = 0
	length, chunked, refused := checkHeader(header)
	switch {
	case refused != nil:
		return 0, refused, nil
	case chunked:
		f.part = partChunkSize
	case length > 0:
		f.part = partFixed
		f.left = length
	}
	return len(header), nil, nil
}

func (f *framer) chunkSize(in []byte) (int, error) {
	line, n, err := wholeLine(in, maxChunkLine)
	if n == 0 || err != nil {
		return 0, err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	left, ok := number(string(bytes.TrimRight(size, " \t")), 16)
	if !ok {
		return 0, errChunk
	}
	f.left = left
	f.part = partChunkData
	if left == 0 {
		f.part = partTrailer
		f.seen = 0
	}
	return n, nil
}

func (f *framer) chunkEnd(in []byte) (int, error) {
	line, n, err := wholeLine(in, 2)
	if n == 0 || err != nil {
		return 0, err
	}
	if len(line) != 0 {
		return 0, errChunk
	}
	f.part = partChunkSize
	return n, nil
}

func (f *framer) trailer(in []byte) (int, error) {
	line, n, err := wholeLine(in, f.limit)
	if n == 0 || err != nil {
		return 0, err
	}
	f.seen += n
	if f.seen > f.limit {
		return 0, errChunk
	}
	if len(line) == 0 {
		f.seen = 0
		f.part = partHeader
		return n, nil
	}
	if _, _, ok := splitField(line); !ok {
		return 0, errChunk
	}
	return n, nil
}

// wholeLine returns the first line without its CR LF and the bytes it takes up, or 0 if it is not complete.
func wholeLine(in []byte, limit int) ([]byte, int, error) {
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

// headerCheck collects what the fields of a header say about framing.
type headerCheck struct {
	old     bool
	length  int64
	chunked bool
	counts  map[string]int
}

// checkHeader returns the framing of the body that follows a header.
func checkHeader(header []byte) (length int64, chunked bool, refused *ErrRefused) {
	lines := strings.Split(strings.TrimSuffix(string(header), "\r\n\r\n"), "\r\n")
	old, ok := checkRequestLine(lines[0])
	if !ok {
		return 0, false, badFraming("the request line is malformed; send method, target and HTTP/1.1 separated by single spaces")
	}
	c := &headerCheck{old: old, counts: map[string]int{}}
	for _, line := range lines[1:] {
		name, value, ok := splitField([]byte(line))
		if !ok {
			return 0, false, badFraming("a header line is malformed or folded; send each header as one line \"Name: value\"")
		}
		if refused := c.field(name, value); refused != nil {
			return 0, false, refused
		}
	}
	return c.length, c.chunked, c.whole()
}

func (c *headerCheck) field(name, value string) *ErrRefused {
	switch name {
	case "content-length":
		length, ok := number(value, 10)
		if !ok {
			return badFraming("Content-Length is not a number; send it in decimal digits")
		}
		c.length = length
	case "transfer-encoding":
		if c.chunked = true; c.old || !strings.EqualFold(value, "chunked") {
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

func (c *headerCheck) whole() *ErrRefused {
	if c.counts["content-length"] > 0 && c.chunked {
		return badFraming("the request has both Content-Length and Transfer-Encoding; send one of them")
	}
	if c.counts["host"] == 0 && !c.old {
		return badFraming("the Host header is missing; send it once")
	}
	return nil
}

// checkRequestLine reports whether the line is well-formed and of HTTP/1.0.
func checkRequestLine(line string) (old, ok bool) {
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
	n, v, found := bytes.Cut(line, []byte(":"))
	name, value = strings.ToLower(string(n)), strings.Trim(string(v), " \t")
	return name, value, found && validToken(name) && validValue(value)
}

// validToken reports whether s is a token of RFC 9110, section 5.6.2.
func validToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"(),/:;<=>?@[\\]{}", r)
	})
}

// validHost reports whether s has only characters of a host and port.
func validHost(s string) bool {
	return !strings.ContainsFunc(s, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune("\"#/<>?@\\^`{|}", r)
	})
}

// validValue reports whether s has no control characters but tabs.
func validValue(s string) bool {
	for _, b := range []byte(s) {
		if (b < ' ' && b != '\t') || b == 0x7f {
			return false
		}
	}
	return true
}

// number parses digits alone; strconv also takes signs and underscores.
func number(s string, base int64) (int64, bool) {
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
	return refuse(http.StatusBadRequest, CodeBadFraming, format, args...).closing()
}

func headerTooLarge(limit int) *ErrRefused {
	return refuse(http.StatusRequestHeaderFieldsTooLarge, CodeHeaderTooLarge, "the header exceeds %d bytes; send fewer or shorter headers", limit).closing()
}
