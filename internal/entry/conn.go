package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	readBufferSize = 4 << 10
	// malformedChunk is invalid at every position of a chunked body, so that
	// net/http reports a malformed body. An error from Read would instead cancel an
	// earlier request on the connection.
	malformedChunk = "!\r\n\r\n"
)

// callerConn is the connection of a caller. It checks the framing of each request
// header before net/http reads any of it. A header that it refuses is replaced by
// a request for a random path that only this host knows. The Server answers
// that request with the refusal, so that the refusal comes after the answers to
// earlier requests and in the same form as other errors.
type callerConn struct {
	net.Conn
	headerTimeout time.Duration
	framer        framer
	// input holds bytes that were read from the connection but not by net/http.
	// The first checkedLen of them were checked and may be returned by Read.
	input      []byte
	checkedLen int
	// headerStartedAt is when the first byte of an incomplete header arrived.
	headerStartedAt time.Time

	// mu guards deadline, endRequested and the setting of the connection's read deadline.
	mu sync.Mutex
	// deadline is the read deadline that net/http set.
	deadline time.Time
	// endRequested is set by endIdle, until a request arrives or the connection ends.
	endRequested bool

	// refusal is the refusal of a header, or nil.
	refusal atomic.Pointer[refusal]
	// discarding is set once all further input is discarded.
	discarding atomic.Bool
	lingerOnce sync.Once
	// idle is set while net/http waits for a request on the connection or reads one.
	idle atomic.Bool
	// acceptedAt is when the connection was accepted.
	acceptedAt time.Time
	// idleSince is the time in nanoseconds from acceptedAt until idle was set last.
	idleSince atomic.Int64
	// closeAfterAnswer is set when a key that this connection presented was withdrawn.
	closeAfterAnswer atomic.Bool
	// announced is set once an answer has announced that it is the last one.
	announced atomic.Bool
	// dropInput is set if Close must not wait for further input.
	dropInput atomic.Bool

	// inputMu is held while input is taken from the socket and counted, so that
	// hasPipelinedRequests finds it in one of the two places.
	inputMu sync.Mutex
	// receivedRequests counts the requests whose complete header arrived, and the
	// refused ones.
	receivedRequests atomic.Int64
	// partialHeader is set while a part of a header has arrived.
	partialHeader atomic.Bool
	// inBody is set while a body has not arrived completely.
	inBody atomic.Bool
	// startedRequests counts the requests that net/http has passed to the Server.
	startedRequests atomic.Int64

	// keyWorkspaces maps each key that this connection presented to its workspace.
	// It is guarded by the registry.
	keyWorkspaces map[model.KeyHash]model.WorkspaceID
}

// refusal is the error answer to the request for path, which replaced a refused header.
type refusal struct {
	path string
	err  *ErrRefused
}

// Read implements net.Conn. It returns only input that was checked, or that belongs
// to a body of known length.
func (c *callerConn) Read(p []byte) (int, error) {
	for {
		if c.checkedLen > 0 {
			return c.copyChecked(p), nil
		}
		if c.framer.part == partRefused {
			return 0, c.discardInput()
		}
		if c.framer.part == partFixed && len(c.input) == 0 {
			return c.readBody(p)
		}
		if err := c.readMore(); err != nil {
			return 0, err
		}
	}
}

// copyChecked moves checked input to p and returns the number of bytes.
func (c *callerConn) copyChecked(p []byte) int {
	n := copy(p, c.input[:c.checkedLen])
	c.input = c.input[n:]
	c.checkedLen -= n
	if len(c.input) == 0 {
		c.input = nil
	}
	return n
}

// readBody reads from a body of known length straight into p, and nothing beyond
// the body.
func (c *callerConn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.framer.remaining)])
	c.framer.consumeData(p[:n])
	c.updateProgress()
	return n, err
}

// readMore reads more input and checks the elements that are complete.
func (c *callerConn) readMore() error {
	if err := c.applyHeaderTimeout(); err != nil {
		return err
	}
	buf := make([]byte, readBufferSize)
	n, err := c.readAndCount(buf, func(n int) {
		c.input = append(c.input, buf[:n]...)
		c.checkInput()
		c.updateProgress()
	})
	if n > 0 {
		c.cancelEnd()
	}
	if c.checkedLen > 0 {
		return nil // The next read of the connection returns the error again.
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.resumeInput() {
		return nil
	}
	return err
}

// updateProgress sets partialHeader and inBody after input was checked.
func (c *callerConn) updateProgress() {
	c.partialHeader.Store(c.framer.part == partHeader && len(c.input) > c.checkedLen)
	c.inBody.Store(c.framer.part != partHeader && c.framer.part != partRefused)
}

// checkInput checks as many complete elements of the input as there are and
// advances checkedLen past them.
func (c *callerConn) checkInput() {
	for {
		header := c.framer.part == partHeader
		n, refused, err := c.framer.consume(c.input[c.checkedLen:])
		if err != nil {
			c.stopChecking(malformedChunk)
			return
		}
		if refused != nil {
			c.replaceByRefusal(refused)
			return
		}
		if n == 0 {
			return
		}
		if header {
			c.receivedRequests.Add(1)
		}
		c.checkedLen += n
	}
}

// replaceByRefusal replaces the refused header by a request for a random path,
// which refusalFor recognizes.
func (c *callerConn) replaceByRefusal(err *ErrRefused) {
	var b [16]byte
	rand.Read(b[:]) // crypto/rand.Read never returns an error.
	path := "/" + hex.EncodeToString(b[:])
	c.refusal.Store(&refusal{path: path, err: err})
	c.receivedRequests.Add(1)
	c.stopChecking("GET " + path + " HTTP/1.1\r\nHost: refused\r\nConnection: close\r\n\r\n")
}

// stopChecking replaces the unchecked input by last. All further input is discarded.
func (c *callerConn) stopChecking(last string) {
	c.input = append(c.input[:c.checkedLen:c.checkedLen], last...)
	c.checkedLen = len(c.input)
	c.framer.part = partRefused
	c.discarding.Store(true)
}

// discardInput reads and discards input until the connection ends. Returning an
// end of input at once would cancel an earlier request on the connection.
func (c *callerConn) discardInput() error {
	buf := make([]byte, readBufferSize)
	for {
		if _, err := c.Conn.Read(buf); err != nil {
			return err
		}
	}
}

// applyHeaderTimeout sets the read deadline of an incomplete header to
// headerTimeout after its first byte. net/http's own timeout starts only when it
// gets the first byte, which is after the header was checked. While a request
// runs, the header of a pipelined one has no deadline, since an error from Read
// would cancel the request that runs.
func (c *callerConn) applyHeaderTimeout() error {
	if c.framer.part != partHeader || len(c.input) == 0 || !c.idle.Load() {
		c.headerStartedAt = time.Time{}
		return c.setDeadline(time.Time{})
	}
	if c.headerStartedAt.IsZero() {
		c.headerStartedAt = time.Now()
	}
	return c.setDeadline(c.headerStartedAt.Add(c.headerTimeout))
}

// setDeadline sets the read deadline to the earlier of net/http's and header,
// either of which may be zero for none.
func (c *callerConn) setDeadline(header time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.deadline
	if d.IsZero() || (!header.IsZero() && header.Before(d)) {
		d = header
	}
	return c.setReadDeadlineLocked(d)
}

// SetReadDeadline implements net.Conn. It remembers the deadline, since the
// deadline for headers may replace it for some reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setReadDeadlineLocked(t)
}

// connContextKey is the context key of the caller's connection.
type connContextKey struct{}

// withConn adds the caller's connection to the context of its requests. It
// implements http.Server.ConnContext.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

// callerConnOf returns the caller's connection from the context of a request, or
// nil if the request did not come over a callerConn, as in some tests.
func callerConnOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connContextKey{}).(*callerConn)
	return c
}

// refusalFor returns the refusal whose random path is path, or nil.
func (c *callerConn) refusalFor(path string) *ErrRefused {
	if c == nil {
		return nil
	}
	if r := c.refusal.Load(); r != nil && r.path == path {
		return r.err
	}
	return nil
}
