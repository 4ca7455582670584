//go:build unix

package entry

import (
	"errors"
	"io"
	"syscall"
)

// hasUnreadInput reports whether input has arrived that was not read from the
// socket. net/http reads no further than one byte while a request runs.
func (c *callerConn) hasUnreadInput() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err != nil {
			n = 0 // nothing to read, or the connection has failed
		}
	})
	return err == nil && n > 0
}

// readAndCount reads input and calls count with its length. It holds inputMu from
// before the input leaves the socket until it is counted.
func (c *callerConn) readAndCount(buf []byte, count func(n int)) (int, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		n, err := c.Conn.Read(buf)
		count(n)
		return n, err
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	n := 0
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		c.inputMu.Lock()
		defer c.inputMu.Unlock()
		for {
			n, readErr = syscall.Read(int(fd), buf)
			if !errors.Is(readErr, syscall.EINTR) {
				break
			}
		}
		if errors.Is(readErr, syscall.EAGAIN) {
			n = 0
			return false
		}
		n = max(n, 0)
		count(n)
		return true
	})
	switch {
	case err != nil:
		return 0, err
	case readErr != nil:
		return n, readErr
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}
