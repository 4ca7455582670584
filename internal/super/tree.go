package super

import (
	"context"
	"slices"
	"sync"

	"github.com/alitto/pond/v2"
)

// member is a member of a tree: a running task or a child tree.
type member interface {
	// stop stops the member and waits until it has ended.
	stop()
	// busy reports whether any task of the member is running.
	busy() bool
}

// Tree supervises tasks and child trees. It is safe for concurrent use.
type Tree struct {
	path   string
	opts   options
	pool   pond.Pool
	parent *Tree

	mu sync.Mutex
	// changed is signaled when a member of this tree or of a child tree ends.
	changed *sync.Cond
	// members are the tasks and child trees in the order of their start.
	members  []member
	stopping bool
	stopped  bool
	err      error
}

// New returns a root tree and a function that stops it. The function stops all
// tasks in reverse order of their start and waits for them, so that a task of
// the tree must not call it.
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

// Child adds a child tree, which stops in its position in the parent's order of
// start. A failure of the child fails the parent.
func (t *Tree) Child(name string, opts ...Option) *Tree {
	c := newTree(t.path+"/"+name, t, t.pool, t.opts, opts)
	if !t.add(c) {
		c.stopping, c.stopped = true, true
	}
	return c
}

// Go starts a task and reports whether it was started. A tree that is stopping
// or stopped starts no task.
func (t *Tree) Go(name string, run Task) bool {
	tk := newTask(t, t.path+"/"+name, run)
	if !t.add(tk) {
		tk.release()
		return false
	}
	tk.group.Submit(tk.supervise)
	return true
}

// Wait blocks until no task of the tree is running or the tree has stopped. The
// returned error is the failure that stopped the tree, if any.
func (t *Tree) Wait() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	for !t.stopped && (t.stopping || t.err != nil || anyBusy(t.members)) {
		t.changed.Wait()
	}
	return t.err
}

// Run waits until ctx ends, no task is running or the tree fails. It then stops
// the tree and returns the failure, if any.
func (t *Tree) Run(ctx context.Context) error {
	cancel := context.AfterFunc(ctx, t.Stop)
	defer cancel()
	err := t.Wait()
	t.Stop()
	return err
}

// Stop stops all tasks in reverse order of their start and waits for them. A
// task of the tree must not call Stop, since the call would wait for that task.
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

// beginStop marks the tree as stopping. It returns the members to stop and
// whether this is the first call.
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

// notify wakes the callers that wait for a change of this tree or of its parents.
func (t *Tree) notify() {
	for ; t != nil; t = t.parent {
		t.mu.Lock()
		t.changed.Broadcast()
		t.mu.Unlock()
	}
}

// fail records the error in this tree and all its parents, and stops the root
// tree, so that all tasks of the process end in reverse order of their start.
// The stop runs in a group of its own, because the failing task must not wait for itself.
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
