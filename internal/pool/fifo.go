package pool

// fifo is a first-in, first-out queue that reuses its storage.
type fifo[T any] struct {
	items []T
	head  int
}

func (q *fifo[T]) len() int { return len(q.items) - q.head }

func (q *fifo[T]) push(v T) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		q.compact()
	}
	q.items = append(q.items, v)
}

func (q *fifo[T]) peek() T { return q.items[q.head] }

func (q *fifo[T]) pop() T {
	var zero T
	v := q.items[q.head]
	q.items[q.head] = zero
	q.head++
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	}
	return v
}

// compact moves the elements to the front of the storage.
func (q *fifo[T]) compact() {
	n := copy(q.items, q.items[q.head:])
	clear(q.items[n:])
	q.items, q.head = q.items[:n], 0
}

// filter keeps the elements for which keep returns true, in order.
func (q *fifo[T]) filter(keep func(T) bool) {
	kept := q.items[:0]
	for _, v := range q.items[q.head:] {
		if keep(v) {
			kept = append(kept, v)
		}
	}
	clear(q.items[len(kept):])
	q.items, q.head = kept, 0
}
