package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
)

var errKeyInBody = errors.New("the request body contains the key")

// requestBody is a caller's body: whole in memory, or a prefix and the rest of the stream.
type requestBody struct {
	// data is the whole body, or what was read of it.
	data []byte
	// rest is nil when data is the whole body.
	rest io.ReadCloser
	// length is -1 for a chunked body.
	length int64
	// trailer is complete once the body was read.
	trailer http.Header
	// failed holds the error of reading from the caller.
	failed *readError
}

// readError keeps the first error of a stream that two goroutines use.
type readError struct {
	mu  sync.Mutex
	err error
}

func (e *readError) set(err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.err == nil {
		e.err = err
	}
}

func (e *readError) get() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.err
}

// readBody buffers a body of up to limit bytes.
func readBody(r *http.Request, limit int) (*requestBody, error) {
	b := &requestBody{length: r.ContentLength, failed: &readError{}}
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

// replayable reports whether the body can be sent again.
func (b *requestBody) replayable() bool { return b.rest == nil }

// attach gives an outgoing request its body. The body never has a GetBody, and
// requests without one get a reader that net/http does not know to be empty:
// net/http would otherwise resend the request by itself on a new connection.
func (b *requestBody) attach(out *http.Request, clean cleaner) {
	out.ContentLength = b.length
	if b.length == 0 {
		b.attachEmpty(out)
		return
	}
	body := &outgoingBody{src: b, r: bytes.NewReader(b.data)}
	out.Body = body
	if b.rest != nil {
		body.r = io.MultiReader(bytes.NewReader(b.data), &guardedReader{r: b.rest, clean: clean, failed: b.failed})
	}
	if b.replayable() {
		out.Trailer = clean.trailer(b.trailer)
		return
	}
	out.Trailer = clean.trailerNames(b.trailer)
	body.finish = func() {
		whole := clean.trailer(b.trailer)
		for name := range out.Trailer {
			out.Trailer[name] = whole[name]
		}
	}
}

func (b *requestBody) attachEmpty(out *http.Request) {
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

type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// WriteTo spares net/http a buffer of 32 KiB for each request without a body.
func (eofReader) WriteTo(io.Writer) (int64, error) { return 0, nil }

// outgoingBody is the body of one attempt. Closing it does not close the
// caller's body, which net/http closes when the handler returns.
type outgoingBody struct {
	src    *requestBody
	r      io.Reader
	finish func()
}

func (o *outgoingBody) Read(p []byte) (int, error) {
	n, err := o.r.Read(p)
	if err == io.EOF && o.finish != nil {
		o.finish()
		o.finish = nil
	}
	return n, err
}

func (o *outgoingBody) Close() error { return nil }

// guardedReader passes a stream on and stops before the last byte of a key.
type guardedReader struct {
	r      io.Reader
	clean  cleaner
	failed *readError
	// tail is the end of what was passed on, as long as the longest key less one byte.
	tail []byte
}

func (g *guardedReader) Read(p []byte) (int, error) {
	n, err := g.r.Read(p)
	if err != nil && err != io.EOF {
		g.failed.set(err)
	}
	if len(g.clean.keys) == 0 {
		return n, err
	}
	window := append(g.tail, p[:n]...)
	if g.clean.foundIn(window) {
		g.failed.set(errKeyInBody)
		return 0, errKeyInBody
	}
	g.tail = bytes.Clone(window[max(0, len(window)-g.clean.longest()+1):])
	return n, err
}

func (c cleaner) longest() int {
	n := 0
	for _, k := range c.keys {
		n = max(n, len(k))
	}
	return n
}
