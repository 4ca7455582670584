package entry

import (
	"net"
	"sync"
)

// checkedConn is a connection to a target whose Read fails on a malformed answer.
type checkedConn struct {
	net.Conn

	// mu guards answer. net/http reads and writes in different goroutines.
	mu     sync.Mutex
	answer answerChecker
}

// NewCheckedConn wraps a connection to a target. Its Read fails on an answer that this
// package would not pass on to a caller because its head, chunks or trailer are
// malformed. Each Write must begin a request, other than HEAD, after the answer to the
// one before. An answer may have header lines of up to maxHeader bytes.
func NewCheckedConn(conn net.Conn, maxHeader int) net.Conn {
	return &checkedConn{Conn: conn, answer: answerChecker{limit: maxHeader}}
}

// Write implements net.Conn.
func (c *checkedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answer.begin(false)
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.answer.check(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}
