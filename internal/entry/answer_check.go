package entry

import (
	"bytes"
	"errors"
	"net/http"
	"strings"
)

var (
	errAnswerStatusLine = errors.New("the status line of the answer is malformed; send HTTP/1.0 or HTTP/1.1, a status of three digits and a reason without control characters, separated by single spaces")
	errAnswerField      = errors.New("a header line of the answer is malformed or folded; send each header as one line \"Name: value\"")
	errAnswerLine       = errors.New("a line of the answer's head is too long or does not end with CR LF")
	errAnswerTrailer    = errors.New("the header Trailer of the answer lists a malformed name")
	errAnswerFraming    = errors.New("the answer's head has contradicting fields on the length of its body; send only one of Content-Length and Transfer-Encoding, and neither with status 204")
	errAnswerChunk      = errors.New("the chunks or the trailer of the answer are malformed")
)

// answerPart is the part of an answer that an answerChecker expects next.
type answerPart int

const (
	answerStatusLine answerPart = iota
	answerFields
	// answerChunks is a chunked body and its trailer.
	answerChunks
	// answerUnchecked is everything after the checked parts of an answer.
	answerUnchecked
)

// answerChecker checks the head, the chunks and the trailer of a target's answer as
// its bytes arrive. net/http alone accepts names with blanks and drops or passes on
// their lines, so that a Content-Length can be lost. It joins folded lines, accepts
// any version of HTTP, and ignores Transfer-Encoding in HTTP/1.0 and Content-Length
// next to Transfer-Encoding.
type answerChecker struct {
	// limit bounds a line, and all lines of a trailer together, in bytes.
	limit int
	// noBody is set if the request is a HEAD, whose answer has no body.
	noBody bool
	part   answerPart
	head   answerHead
	chunks framer
	// partial holds the part of a line whose end has not arrived.
	partial []byte
}

// begin starts the check of the answer to another request.
func (c *answerChecker) begin(noBody bool) {
	c.noBody, c.part, c.head, c.partial = noBody, answerStatusLine, answerHead{}, nil
}

// check checks the next bytes of the answer. After an error, the rest of the answer
// cannot be checked.
func (c *answerChecker) check(in []byte) error {
	if len(c.partial) > 0 {
		in = append(c.partial, in...)
	}
	for len(in) > 0 && c.part != answerUnchecked {
		n, err := c.consume(in)
		if err != nil {
			return err
		}
		if n == 0 {
			c.partial = bytes.Clone(in)
			return nil
		}
		in = in[n:]
	}
	c.partial = nil
	return nil
}

// consume checks one element at the start of in and returns its length, or 0 if in
// holds no complete element.
func (c *answerChecker) consume(in []byte) (int, error) {
	if c.part == answerChunks {
		return c.consumeChunk(in)
	}
	line, n, err := completeLine(in, c.limit)
	switch {
	case err != nil:
		return 0, errAnswerLine
	case n == 0:
		return 0, nil
	case c.part == answerStatusLine:
		c.part = answerFields
		return n, c.head.setStatusLine(line)
	case len(line) == 0:
		return n, c.endHead()
	default:
		return n, c.head.addField(line)
	}
}

// consumeChunk checks one element of a chunked body or one line of its trailer.
func (c *answerChecker) consumeChunk(in []byte) (int, error) {
	n, _, err := c.chunks.consume(in)
	if err != nil {
		return 0, errAnswerChunk
	}
	if n > 0 && c.chunks.part == partHeader {
		c.part = answerUnchecked
	}
	return n, nil
}

// endHead checks a complete head and sets the part that follows.
func (c *answerChecker) endHead() error {
	h := c.head
	c.head = answerHead{}
	switch {
	case h.isInformational():
		c.part = answerStatusLine
	case h.contradictsItself():
		return errAnswerFraming
	case h.isChunked && !c.noBody && h.status != http.StatusNotModified:
		c.part, c.chunks = answerChunks, framer{part: partChunkSize, limit: c.limit}
	default:
		c.part = answerUnchecked
	}
	return nil
}

// answerHead is what the lines of an answer's head say about its framing.
type answerHead struct {
	status    int
	isHTTP10  bool
	isChunked bool
	// hasLength is set if the head has Content-Length, length holds its value.
	hasLength bool
	length    string
}

// setStatusLine checks a status line and keeps its version and status.
func (h *answerHead) setStatusLine(line []byte) error {
	version, rest, ok := strings.Cut(string(line), " ")
	h.isHTTP10 = version == "HTTP/1.0"
	if !ok || !h.isHTTP10 && version != "HTTP/1.1" {
		return errAnswerStatusLine
	}
	digits, reason, _ := strings.Cut(rest, " ")
	status, ok := parseDigits(digits, 10)
	if !ok || len(digits) != 3 || !validValue(reason) {
		return errAnswerStatusLine
	}
	h.status = int(status)
	return nil
}

// addField checks a header line and keeps what it says about the framing.
func (h *answerHead) addField(line []byte) error {
	name, value, ok := splitField(line)
	if !ok {
		return errAnswerField
	}
	switch name {
	case "content-length":
		h.hasLength, h.length = true, value
	case "transfer-encoding":
		h.isChunked = true
	case "trailer":
		for listed := range strings.SplitSeq(value, ",") {
			if listed = strings.Trim(listed, " \t"); listed != "" && !validToken(listed) {
				return errAnswerTrailer
			}
		}
	}
	return nil
}

// isInformational reports whether another head follows this one.
func (h answerHead) isInformational() bool {
	return h.status >= http.StatusContinue && h.status < http.StatusOK && h.status != http.StatusSwitchingProtocols
}

// contradictsItself reports whether the head leaves open where the body ends.
func (h answerHead) contradictsItself() bool {
	switch {
	case h.isChunked:
		return h.hasLength || h.isHTTP10 || h.status == http.StatusNoContent
	case h.status == http.StatusNoContent:
		return h.hasLength && h.length != "0"
	default:
		return false
	}
}
