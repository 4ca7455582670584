package entry

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// resetConn is a connection to a target on which a reset never looks like an end of
// input. A socket reports a reset to one call only. If that call is a Write, the next
// Read gets a plain end, which net/http takes for the end of an answer without a length.
type resetConn struct {
	net.Conn

	// writeMu is held during each call of Conn.Write.
	writeMu sync.Mutex
	// writeErr is the first error of Conn.Write, or nil.
	writeErr error
}

// Write implements net.Conn.
func (c *resetConn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only if the target ended its side of
// the connection, and the error of Write if the connection failed.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF { //nolint:errorlint // net.Conn returns io.EOF itself.
		err = c.endOfInput()
	}
	return n, err
}

// endOfInput returns the error of a Read that got a plain end: io.EOF, or the error
// that an earlier or concurrent Write took from the socket.
func (c *resetConn) endOfInput() error {
	// A Write that waits for room in the buffers took no error. It would block this
	// call, and net/http closes the connection after the end of input anyway.
	c.SetWriteDeadline(time.Now()) //nolint:errcheck // It fails only on a closed connection, on which no Write blocks.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if tookReset(c.writeErr) {
		return c.writeErr
	}
	return io.EOF
}

// tookReset reports whether an error of Write may have hidden a reset from Read.
// After the target has ended its side, a socket reports a reset as EPIPE. It reports
// EPIPE also after a Read got the reset.
func tookReset(err error) bool {
	return err != nil && !errors.Is(err, syscall.EPIPE) && !errors.Is(err, os.ErrDeadlineExceeded)
}
