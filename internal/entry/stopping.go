package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

const (
	// minSendTime is the least time before the end of a stop at which a request is
	// still passed on to a target.
	minSendTime = 500 * time.Millisecond
	// lastAnswersTime is how long, at the end of a stop, the answers to requests that
	// are broken off, and those to announcements, may take.
	lastAnswersTime = 200 * time.Millisecond
)

// errStopping ends requests that this host cannot serve before it stops.
var errStopping = errors.New("this host is stopping")

// stop is the time at which a server that shuts down breaks off what is left. A
// request that is not with a target by then has not run and is told so.
type stop struct {
	// begun ends when the server begins to shut down.
	begun context.Context
	begin context.CancelFunc

	mu sync.Mutex
	// endsAt is guarded by mu and set before begun ends. It is zero if the shutdown
	// has no end.
	endsAt time.Time
}

func newStop() *stop {
	ctx, cancel := context.WithCancel(context.Background())
	return &stop{begun: ctx, begin: cancel}
}

// beginUntil records that the server shuts down until the deadline of ctx. Later
// calls change nothing.
func (s *stop) beginUntil(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.begun.Err() != nil {
		return
	}
	s.endsAt, _ = ctx.Deadline()
	s.begin()
}

// context returns a context that also ends, with errStopping, the time margin before
// the end of a shutdown, and the function that ends it, which must be called.
func (s *stop) context(ctx context.Context, margin time.Duration) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopWaiting := context.AfterFunc(s.begun, func() {
		s.mu.Lock()
		endsAt := s.endsAt
		s.mu.Unlock()
		if endsAt.IsZero() {
			return
		}
		timer := time.AfterFunc(time.Until(endsAt)-margin, func() { cancel(errStopping) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func(cause error) {
		stopWaiting()
		cancel(cause)
	}
}

// sendMargin returns how long before the end of a stop the request is last passed on
// to a target: the time within which callers expect its answer. Another host can
// serve it in the time that is left.
func (c *call) sendMargin() time.Duration { return max(c.route.Objective, minSendTime) }

func stopping() *ErrRefused {
	return refuse(http.StatusServiceUnavailable, CodeDraining, "this host is shutting down; send the request again, to another host").withRetryAfter(otherHostRetryAfter)
}
