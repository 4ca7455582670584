package super

import (
	"context"
	"slices"
	"sync"

	"github.com/alitto/pond/v2"
)

// member is a running task or a child tree.
type member interface {
	// stop ends the member and waits for it.
	stop()
	// busy reports whether a task is running.
	busy() bool
}

// Tree supervises tasks and child trees. It is safe for concurrent use.
type Tree struct {
	path   string
	opts   options
	pool   pond.Pool
	parent *Tree

	mu      sync.Mutex
	changed *sync.Cond
	// members are in order of start.
	members  []member
	stopping bool
	stopped  bool
	err      error
}

// New starts a root tree. The clean-up function stops all tasks in reverse
// order of their start and waits for them; a task of the tree must not call it.
func New(name string, opts ...Option) (*Tree, func()) {
	t := newTree(name, nil, pond.NewPool(0), defaultOptions(), opts)
	return t, t.Stop
}

func newTree(path string, parent *Tree, pool pond.Pool, o options, opts []Option) *Tree {
	for _, opt := range opts {
		opt(&o)
	}
	t := &Tree{path: path, opts: o, pool: pool, parent: parent}
	t.changed = sync.NewCond(&t.mu)
	return t
}

// Child adds a tree that stops in its place in the order of start. Its failure is the parent's failure.
func (t *Tree) Child(name string, opts ...Option) *Tree {
	c := newTree(t.path+"/"+name, t, t.pool, t.opts, opts)
	if !t.add(c) {
		c.stopping, c.stopped = true, true
	}
	return c
}

// Go starts a task and reports whether it was started; a stopped tree starts none.
func (t *Tree) Go(name string, run Task) bool {
	tk := newTask(t, t.path+"/"+name, run)
	if !t.add(tk) {
		tk.release()
		return false
	}
	tk.group.Submit(tk.supervise)
	return true
}

// Wait returns once no task of the tree is running or the tree has stopped.
// The error is the failure that stopped it, if any.
func (t *Tree) Wait() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for !t.stopped && (t.stopping || t.err != nil || anyBusy(t.members)) {
		t.changed.Wait()
	}
	return t.err
}

// Run waits until ctx ends, no task is running or the tree fails. It stops the
// tree and returns the failure, if any.
func (t *Tree) Run(ctx context.Context) error {
	cancel := context.AfterFunc(ctx, t.Stop)
	defer cancel()
	err := t.Wait()
	t.Stop()
	return err
}

// Stop ends all tasks in reverse order of their start and waits for them. A
// task of the tree must not call it.
func (t *Tree) Stop() {
	members, first := t.beginStop()
	if !first {
		t.awaitStopped()
		return
	}
	for _, m := range slices.Backward(members) {
		m.stop()
	}
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	t.notify()
	if t.parent != nil {
		t.parent.remove(t)
	}
}

func (t *Tree) beginStop() ([]member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.stopping
	t.stopping = true
	return slices.Clone(t.members), first
}

func (t *Tree) awaitStopped() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for !t.stopped {
		t.changed.Wait()
	}
}

func (t *Tree) stop() { t.Stop() }

func (t *Tree) busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return anyBusy(t.members)
}

func anyBusy(members []member) bool {
	return slices.ContainsFunc(members, member.busy)
}

func (t *Tree) add(m member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return false
	}
	t.members = append(t.members, m)
	return true
}

func (t *Tree) remove(m member) {
	t.mu.Lock()
	t.members = slices.DeleteFunc(t.members, func(o member) bool { return o == m })
	t.mu.Unlock()
	t.notify()
}

// notify wakes Wait in this tree and in all trees above it.
func (t *Tree) notify() {
	for ; t != nil; t = t.parent {
		t.mu.Lock()
		t.changed.Broadcast()
		t.mu.Unlock()
	}
}

// fail records the error in this tree and all trees above it, and stops the
// root, so that tasks of the whole process end in reverse order of start.
func (t *Tree) fail(err error) {
	t.mu.Lock()
	if t.err == nil {
		t.err = err
	}
	t.mu.Unlock()
	if t.parent != nil {
		t.parent.fail(err)
		return
	}
	t.pool.NewGroup().Submit(t.Stop)
}
