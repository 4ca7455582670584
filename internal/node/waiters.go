package node

import (
	"sync"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxMessagesPerKey bounds the messages of a core about one key: an expected
// token, its delay and the answer.
const maxMessagesPerKey = 3

// waiters passes the answers of a core to the goroutines that wait for them.
type waiters[K comparable, A any] struct {
	mu sync.Mutex
	// pending is guarded by mu. Each channel has room for all messages of its
	// key.
	pending map[K]chan A
}

func newWaiters[K comparable, A any]() *waiters[K, A] {
	return &waiters[K, A]{pending: map[K]chan A{}}
}

// add registers a key and returns the channel on which its messages arrive.
func (w *waiters[K, A]) add(key K) <-chan A {
	ch := make(chan A, maxMessagesPerKey)
	w.mu.Lock()
	w.pending[key] = ch
	w.mu.Unlock()
	return ch
}

// remove unregisters a key and reports whether it was still pending.
func (w *waiters[K, A]) remove(key K) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.pending[key]
	delete(w.pending, key)
	return ok
}

// notify delivers a message that is not the answer, if a goroutine waits for the
// key.
func (w *waiters[K, A]) notify(key K, a A) {
	w.mu.Lock()
	ch, ok := w.pending[key]
	w.mu.Unlock()
	if ok {
		ch <- a
	}
}

// answer delivers the answer and reports whether a goroutine waited for it.
func (w *waiters[K, A]) answer(key K, a A) bool {
	w.mu.Lock()
	ch, ok := w.pending[key]
	delete(w.pending, key)
	w.mu.Unlock()
	if ok {
		ch <- a
	}
	return ok
}

// nonceSequence issues the nonces of one process.
type nonceSequence struct {
	mu   sync.Mutex
	last uint64
}

func (n *nonceSequence) next() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	return n.last
}

// requestKey is the key of waiters for the answers about one request.
type requestKey = model.RequestID
