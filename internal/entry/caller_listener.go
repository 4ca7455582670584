package entry

import (
	"net"
	"sync"
	"time"
)

// acceptRest is how long a listener that is to stop waits for a further connection,
// and acceptLimit how long it accepts in all. The kernel resets the connections that
// it has accepted and the process has not when the listener closes.
const (
	acceptRest  = 5 * time.Millisecond
	acceptLimit = 100 * time.Millisecond
)

// callerListener is a listener that wraps each accepted connection in a callerConn.
type callerListener struct {
	net.Listener
	limits Limits
	// stopped is closed after the last connection was accepted.
	stopped  chan struct{}
	stopOnce sync.Once

	// mu guards stopAt and the setting of the listener's deadline.
	mu sync.Mutex
	// stopAt is when the listener closes at the latest, or zero before stop.
	stopAt time.Time
}

// deadlineListener is a listener whose Accept can be ended, as that of TCP.
type deadlineListener interface{ SetDeadline(t time.Time) error }

func newCallerListener(l net.Listener, limits Limits) *callerListener {
	return &callerListener{Listener: l, limits: limits, stopped: make(chan struct{})}
}

// Accept implements net.Listener. The connection that it returns is a callerConn.
// After stop it returns those that wait and then net.ErrClosed.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		last := l.prepareAccept()
		conn, err := l.Listener.Accept()
		if err == nil {
			return &callerConn{Conn: conn, acceptedAt: time.Now(), headerTimeout: l.limits.HeaderTimeout, framer: framer{limit: l.limits.MaxHeader}}, nil
		}
		if !l.isStopping() {
			return nil, err
		}
		if last {
			l.end()
			return nil, net.ErrClosed
		}
	}
}

// prepareAccept reports whether the listener is to stop, so that the next failure to
// accept is the last, and then bounds the wait for a connection.
func (l *callerListener) prepareAccept() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopAt.IsZero() {
		return false
	}
	end := time.Now().Add(acceptRest)
	if l.stopAt.Before(end) {
		end = l.stopAt
	}
	if d, ok := l.Listener.(deadlineListener); ok {
		d.SetDeadline(end) //nolint:errcheck // Then the listener is closed, and Accept fails.
	}
	return true
}

func (l *callerListener) isStopping() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.stopAt.IsZero()
}

// stop makes the listener accept what has arrived and then close.
func (l *callerListener) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.stopAt.IsZero() {
		return
	}
	now := time.Now()
	l.stopAt = now.Add(acceptLimit)
	if d, ok := l.Listener.(deadlineListener); ok && d.SetDeadline(now) == nil {
		return
	}
	l.end()
}

// Close implements net.Listener. Later calls do nothing.
func (l *callerListener) Close() error {
	var err error
	l.stopOnce.Do(func() {
		err = l.Listener.Close()
		close(l.stopped)
	})
	return err
}

// end closes the listener.
func (l *callerListener) end() {
	l.Close() //nolint:errcheck // Nothing is accepted any more in any case.
}

// listeners holds the listeners for callers. It is safe for concurrent use.
type listeners struct {
	mu      sync.Mutex
	all     []*callerListener
	stopped bool
}

// add adds a listener and returns false if no more may be added.
func (s *listeners) add(l *callerListener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.all = append(s.all, l)
	}
	return !s.stopped
}

// stop stops all listeners and returns them.
func (s *listeners) stop() []*callerListener {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	for _, l := range s.all {
		l.stop()
	}
	return s.all
}
