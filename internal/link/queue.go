package link

import (
	"time"
)

// queuedFrame is an encoded message that waits for a link.
type queuedFrame struct {
	frame    []byte
	queuedAt time.Time
}

// queue holds the messages that wait for one host, oldest first. It is not safe
// for concurrent use; the peer that owns it locks it.
type queue struct {
	items []queuedFrame
	// bytes is the total length of the items.
	bytes int
	// limit is the maximum number of items.
	limit int
}

// put adds a message. It returns false if the queue is full.
func (q *queue) put(frame []byte, now time.Time) bool {
	if len(q.items) >= q.limit || q.bytes+len(frame) > maxQueueBytes {
		return false
	}
	q.items = append(q.items, queuedFrame{frame: frame, queuedAt: now})
	q.bytes += len(frame)
	return true
}

// expire drops the messages that are older than maxAge and returns their number.
func (q *queue) expire(now time.Time, maxAge time.Duration) int {
	n := 0
	for n < len(q.items) && now.Sub(q.items[n].queuedAt) > maxAge {
		q.bytes -= len(q.items[n].frame)
		n++
	}
	q.items = q.items[n:]
	return n
}

// takeBatch removes the oldest messages and returns them as one frame of up to
// maxBatchBytes, with their number. A longer message is returned alone.
func (q *queue) takeBatch() ([]byte, int) {
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
		q.items = nil // frees the array of sent messages
	}
	return frame, n
}
