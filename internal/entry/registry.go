package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

var (
	errKeyEnded   = errors.New("the key was withdrawn")
	errFreshEnded = errors.New("this host could not confirm its configuration")
)

// Evidence is what this host knows of a workspace's traffic.
type Evidence struct {
	// InFlight counts the requests that have not ended, waiting ones included.
	InFlight int
	// Admitted tells whether a request was ever admitted, SinceAdmitted how long ago the last was.
	Admitted      bool
	SinceAdmitted time.Duration
}

// flight is one keyed request that has not ended.
type flight struct {
	workspace model.WorkspaceID
	key       model.KeyHash
	cancel    context.CancelCauseFunc
	// answering is set once the caller gets a part of the answer. It is guarded by
	// the registry.
	answering bool
}

// answerGrace is how long an answer of which the caller has a part goes on after
// the withdrawal of its key. With the 3 s within which a host learns of it, the
// request ends within the bound of 5 s.
const answerGrace = time.Second

// registry knows the keyed requests in flight and the connections by the keys they presented.
type registry struct {
	mu       sync.Mutex
	flights  map[model.WorkspaceID]map[*flight]struct{}
	conns    map[model.KeyHash]map[*callerConn]struct{}
	admitted map[model.WorkspaceID]time.Time
}

func newRegistry() *registry {
	return &registry{
		flights:  map[model.WorkspaceID]map[*flight]struct{}{},
		conns:    map[model.KeyHash]map[*callerConn]struct{}{},
		admitted: map[model.WorkspaceID]time.Time{},
	}
}

// begin registers a request and the key that its connection presented. The
// caller checks the key again afterwards: a withdrawal before begin does not
// see the request.
func (r *registry) begin(f *flight, conn *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	add(r.flights, f.workspace, f)
	if conn == nil {
		return
	}
	add(r.conns, f.key, conn)
	if conn.presented == nil {
		conn.presented = map[model.KeyHash]model.WorkspaceID{}
	}
	conn.presented[f.key] = f.workspace
}

func (r *registry) end(f *flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	remove(r.flights, f.workspace, f)
}

// answers notes that the caller of a keyed request gets a part of the answer from
// now on. The request's context is checked afterwards: a withdrawal before this
// call has ended it.
func (r *registry) answers(f *flight) {
	if f == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f.answering = true
}

func (r *registry) admit(ws model.WorkspaceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.admitted[ws] = time.Now()
}

// forget removes a closed connection.
func (r *registry) forget(conn *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range conn.presented {
		remove(r.conns, key, conn)
	}
	conn.presented = nil
}

func (r *registry) evidence(ws model.WorkspaceID) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Evidence{InFlight: len(r.flights[ws])}
	if at, ok := r.admitted[ws]; ok {
		e.Admitted = true
		e.SinceAdmitted = time.Since(at)
	}
	return e
}

func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, flights := range r.flights {
		n += len(flights)
	}
	return n
}

// cancel ends the requests that match and returns how many. Those whose answer
// is on its way to the caller have a grace period before they are broken off.
func (r *registry) cancel(cause error, grace time.Duration, match func(*flight) bool) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, flights := range r.flights {
		for f := range flights {
			if !match(f) {
				continue
			}
			n++
			if f.answering && grace > 0 {
				time.AfterFunc(grace, func() { f.cancel(cause) })
				continue
			}
			f.cancel(cause)
		}
	}
	return n
}

// closeConns closes the idle connections that presented a matching key; busy
// ones close after their answer.
func (r *registry) closeConns(match func(model.KeyHash, model.WorkspaceID) bool) {
	for _, conn := range r.matching(match) {
		conn.ending.Store(true)
		if conn.idle.Load() && !conn.pipelined() {
			conn.Close() //nolint:errcheck // A connection that is closed already is fine.
		}
	}
}

func (r *registry) matching(match func(model.KeyHash, model.WorkspaceID) bool) []*callerConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*callerConn
	for key, conns := range r.conns {
		for conn := range conns {
			if match(key, conn.presented[key]) {
				out = append(out, conn)
			}
		}
	}
	return out
}

func add[K, V comparable](m map[K]map[V]struct{}, k K, v V) {
	if m[k] == nil {
		m[k] = map[V]struct{}{}
	}
	m[k][v] = struct{}{}
}

func remove[K, V comparable](m map[K]map[V]struct{}, k K, v V) {
	delete(m[k], v)
	if len(m[k]) == 0 {
		delete(m, k)
	}
}
