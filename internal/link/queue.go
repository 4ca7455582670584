package link

import (
	"time"
)

// queued is an encoded message that waits for a link.
type queued struct {
	frame []byte
	at    time.Time
}

// queue holds the messages that wait for one host, oldest first. Its owner locks it.
type queue struct {
	items []queued
	bytes int
	limit int
}

// put reports whether there was room.
func (q *queue) put(frame []byte, now time.Time) bool {
	if len(q.items) >= q.limit || q.bytes+len(frame) > maxQueueBytes {
		return false
	}
	q.items = append(q.items, queued{frame: frame, at: now})
	q.bytes += len(frame)
	return true
}

// expire drops messages older than maxAge and returns how many.
func (q *queue) expire(now time.Time, maxAge time.Duration) int {
	n := 0
	for n < len(q.items) && now.Sub(q.items[n].at) > maxAge {
		q.bytes -= len(q.items[n].frame)
		n++
	}
	q.items = q.items[n:]
	return n
}

// take returns the oldest messages as one frame, and how many there are.
func (q *queue) take() ([]byte, int) {
	if len(q.items) == 0 {
		return nil, 0
	}
	n, size := 1, len(q.items[0].frame)
	for n < len(q.items) && size+len(q.items[n].frame) <= maxBatchBytes {
		size += len(q.items[n].frame)
		n++
	}
	frame := q.items[0].frame
	if n > 1 {
		frame = make([]byte, 0, size)
		for _, m := range q.items[:n] {
			frame = append(frame, m.frame...)
		}
	}
	q.items = q.items[n:]
	q.bytes -= size
	if len(q.items) == 0 {
		q.items = nil // lets the array of sent messages go
	}
	return frame, n
}
