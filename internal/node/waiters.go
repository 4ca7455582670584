package node

import (
	"sync"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxSteps is how many messages of a core about one question may arrive: a
// draw under way, its delay and the answer.
const maxSteps = 3

// waiters hands the answer of a core to the goroutine that waits for it.
type waiters[K comparable, A any] struct {
	mu sync.Mutex
	// open is guarded by mu. Each channel has room for all messages of its question.
	open map[K]chan A
}

func newWaiters[K comparable, A any]() *waiters[K, A] {
	return &waiters[K, A]{open: map[K]chan A{}}
}

// add registers a question and returns where its answer arrives.
func (w *waiters[K, A]) add(key K) <-chan A {
	ch := make(chan A, maxSteps)
	w.mu.Lock()
	w.open[key] = ch
	w.mu.Unlock()
	return ch
}

// remove forgets a question and reports whether it was still open.
func (w *waiters[K, A]) remove(key K) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.open[key]
	delete(w.open, key)
	return ok
}

// tell delivers a message that is not the answer, if anybody waits for it.
func (w *waiters[K, A]) tell(key K, a A) {
	w.mu.Lock()
	ch, ok := w.open[key]
	w.mu.Unlock()
	if ok {
		ch <- a
	}
}

// answer delivers an answer and reports whether anybody waited for it.
func (w *waiters[K, A]) answer(key K, a A) bool {
	w.mu.Lock()
	ch, ok := w.open[key]
	delete(w.open, key)
	w.mu.Unlock()
	if ok {
		ch <- a
	}
	return ok
}

// nonces numbers questions of one process.
type nonces struct {
	mu   sync.Mutex
	last uint64
}

func (n *nonces) next() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.last++
	return n.last
}

// requestKey is the key of questions about one request.
type requestKey = model.RequestID
