package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

// errKeyInBody ends the reading of a request body that contains a key of the
// request.
var errKeyInBody = errors.New("the request body contains the key")

// requestBody is a caller's body: either buffered completely, or a buffered
// prefix and the stream of the rest.
type requestBody struct {
	// data is the complete body, or the prefix of it.
	data []byte
	// rest is the stream that follows data, or nil when data is the complete body.
	rest io.ReadCloser
	// length is the length of the body in bytes, or -1 for a chunked body.
	length int64
	// trailer has its values only after the body was read to its end.
	trailer http.Header
	// readErr holds the first error of reading from the caller.
	readErr *firstError
}

// firstError holds the first error of a stream. It is safe for concurrent use:
// net/http reads a request body in another goroutine than the handler's.
type firstError struct {
	mu  sync.Mutex
	err error
}

func (e *firstError) set(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

func (e *firstError) get() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err
}

// readBody buffers a body of up to limit bytes. Of a longer body it buffers
// limit+1 bytes and leaves the rest to be streamed.
func readBody(r *http.Request, limit int) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, readErr: &firstError{}}
	if r.ContentLength == 0 || r.Body == http.NoBody {
		b.length = 0
		return b, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err != nil {
		return nil, err
	}
	b.data = data
	b.trailer = r.Trailer
	if len(data) > limit {
		b.rest = r.Body
	} else if len(b.trailer) == 0 {
		b.length = int64(len(data))
	}
	return b, nil
}

// replayable reports whether the body is buffered completely and can be sent again.
func (b *requestBody) replayable() bool { return b.rest == nil }

// attachTo sets the body and trailer of an outgoing request. It never sets
// GetBody, and an empty body is a reader that net/http cannot recognize as empty:
// otherwise net/http would resend the request by itself on a new connection.
func (b *requestBody) attachTo(out *http.Request, filter keyFilter) {
	out.ContentLength = b.length
	if b.length == 0 {
		b.attachEmptyTo(out)
		return
	}
	body := &outgoingBody{body: b, r: bytes.NewReader(b.data)}
	out.Body = body
	if b.rest != nil {
		body.r = io.MultiReader(bytes.NewReader(b.data), &keyCheckingReader{r: b.rest, filter: filter, readErr: b.readErr})
	}
	if b.replayable() {
		out.Trailer = filter.targetTrailer(b.trailer)
		return
	}
	out.Trailer = filter.targetTrailerNames(b.trailer)
	body.onEOF = func() {
		trailer := filter.targetTrailer(b.trailer)
		for name := range out.Trailer {
			out.Trailer[name] = trailer[name]
		}
	}
}

// attachEmptyTo sets an empty body that keeps net/http from resending the request.
func (b *requestBody) attachEmptyTo(out *http.Request) {
	switch out.Method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		// net/http sends "Content-Length: 0" and does not resend these methods
		// unless an order key in canonical case marks them as safe to resend.
		out.Body = http.NoBody
	default:
		out.Body = io.NopCloser(eofReader{})
		out.TransferEncoding = []string{"identity"}
	}
}

// eofReader is an empty body. net/http takes it for one of unknown length.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo implements io.WriterTo. It saves net/http a copy buffer of 32 KiB for each
// request without a body.
func (eofReader) WriteTo(io.Writer) (int64, error) { return 0, nil }

// outgoingBody is the body of one attempt. Closing it does not close the
// caller's body, which net/http closes when the handler returns.
type outgoingBody struct {
	body *requestBody
	r    io.Reader
	// onEOF is called once at the end of the body, or nil.
	onEOF func()
}

// Read implements io.Reader. It calls onEOF at the end of the body.
func (o *outgoingBody) Read(p []byte) (int, error) {
	n, err := o.r.Read(p)
	if err == io.EOF && o.onEOF != nil {
		o.onEOF()
		o.onEOF = nil
	}
	return n, err
}

// Close implements io.Closer and does nothing.
func (o *outgoingBody) Close() error { return nil }

// keyCheckingReader reads a stream and fails with errKeyInBody before it returns
// the last byte of a key, also if the key is split over several reads.
type keyCheckingReader struct {
	r       io.Reader
	filter  keyFilter
	readErr *firstError
	// tail holds the last bytes that were returned, one byte fewer than the longest
	// key has.
	tail []byte
}

func (r *keyCheckingReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if err != nil && err != io.EOF {
		r.readErr.set(err)
	}
	if len(r.filter.keys) == 0 {
		return n, err
	}
	window := append(r.tail, p[:n]...)
	if r.filter.foundInBody(window) {
		r.readErr.set(errKeyInBody)
		return 0, errKeyInBody
	}
	r.tail = bytes.Clone(window[max(0, len(window)-r.filter.longestKey()+1):])
	return n, err
}

// longestKey returns the length of the longest key in bytes.
func (f keyFilter) longestKey() int {
	n := 0
	for _, k := range f.keys {
		n = max(n, len(k))
	}
	return n
}
