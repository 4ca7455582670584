//go:build !unix

package entry

// hasUnreadInput reports whether input has arrived that was not read from the
// socket. It is not known on this system.
func (c *callerConn) hasUnreadInput() bool { return false }

// readAndCount reads input and calls count with its length.
func (c *callerConn) readAndCount(buf []byte, count func(n int)) (int, error) {
	n, err := c.Conn.Read(buf)
	count(n)
	return n, err
}
