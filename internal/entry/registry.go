package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

var (
	errKeyWithdrawn = errors.New("the key was withdrawn")
	errNotFresh     = errors.New("this host could not confirm its configuration")
)

// Evidence is what this host knows of a workspace's traffic.
type Evidence struct {
	// InFlight counts the keyed requests that have not ended, including those that
	// wait for a token or a target.
	InFlight int
	// EndsWithin is the time until the last deadline of the requests in flight, by which
	// all of them have ended. It is 0 if there are none.
	EndsWithin time.Duration
	// Admitted is set if a request of the workspace was admitted since the start of
	// this host.
	Admitted bool
	// SinceAdmitted is the time since the last admission. It is 0 unless Admitted is set.
	SinceAdmitted time.Duration
}

// inFlightRequest is one keyed request that has not ended.
type inFlightRequest struct {
	workspace model.WorkspaceID
	key       model.KeyHash
	// endsBy is when the request has ended at the latest.
	endsBy time.Time
	// cancel ends the request.
	cancel context.CancelCauseFunc
	// endWait ends the wait for a token, a reservation or a target. It does not
	// affect an attempt that has begun, but prevents further ones.
	endWait context.CancelCauseFunc
}

// registry holds the keyed requests in flight, the connections by the keys that
// they presented, and when each workspace was last admitted. It is safe for
// concurrent use.
type registry struct {
	mu             sync.Mutex
	inFlight       map[model.WorkspaceID]map[*inFlightRequest]struct{}
	conns          map[model.KeyHash]map[*callerConn]struct{}
	lastAdmittedAt map[model.WorkspaceID]time.Time
}

func newRegistry() *registry {
	return &registry{
		inFlight:       map[model.WorkspaceID]map[*inFlightRequest]struct{}{},
		conns:          map[model.KeyHash]map[*callerConn]struct{}{},
		lastAdmittedAt: map[model.WorkspaceID]time.Time{},
	}
}

// register adds a request and the key that its connection presented. The caller
// must check the key again afterwards: a withdrawal before this call cannot cancel
// the request.
func (r *registry) register(f *inFlightRequest, conn *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	addToSet(r.inFlight, f.workspace, f)
	if conn == nil {
		return
	}
	addToSet(r.conns, f.key, conn)
	if conn.keyWorkspaces == nil {
		conn.keyWorkspaces = map[model.KeyHash]model.WorkspaceID{}
	}
	conn.keyWorkspaces[f.key] = f.workspace
}

// unregister removes a request that has ended. Its key stays registered for the
// connection.
func (r *registry) unregister(f *inFlightRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	removeFromSet(r.inFlight, f.workspace, f)
}

// markAdmitted records the time of an admission.
func (r *registry) markAdmitted(ws model.WorkspaceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastAdmittedAt[ws] = time.Now()
}

// removeConn removes a closed connection.
func (r *registry) removeConn(conn *callerConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key := range conn.keyWorkspaces {
		removeFromSet(r.conns, key, conn)
	}
	conn.keyWorkspaces = nil
}

// evidence returns the number of requests of a workspace in flight, when they have
// ended, and the time since its last admission.
func (r *registry) evidence(ws model.WorkspaceID) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Evidence{InFlight: len(r.inFlight[ws])}
	for f := range r.inFlight[ws] {
		e.EndsWithin = max(e.EndsWithin, time.Until(f.endsBy))
	}
	if at, ok := r.lastAdmittedAt[ws]; ok {
		e.Admitted = true
		e.SinceAdmitted = time.Since(at)
	}
	return e
}

// count returns the number of keyed requests in flight.
func (r *registry) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, requests := range r.inFlight {
		n += len(requests)
	}
	return n
}

// cancel ends the requests that match and returns their number.
func (r *registry) cancel(cause error, match func(*inFlightRequest) bool) int {
	return r.forEach(match, func(f *inFlightRequest) { f.cancel(cause) })
}

// endWaits ends the requests that match and are not with a target. It returns the
// number of all requests that match.
func (r *registry) endWaits(cause error, match func(*inFlightRequest) bool) int {
	return r.forEach(match, func(f *inFlightRequest) { f.endWait(cause) })
}

// forEach calls fn with each request that matches and returns their number.
func (r *registry) forEach(match func(*inFlightRequest) bool, fn func(*inFlightRequest)) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, requests := range r.inFlight {
		for f := range requests {
			if match(f) {
				n++
				fn(f)
			}
		}
	}
	return n
}

// closeConns closes the connections that presented a matching key: idle ones
// within endNoticeTime, busy ones after their answer.
func (r *registry) closeConns(match func(model.KeyHash, model.WorkspaceID) bool) {
	for _, conn := range r.matchingConns(match) {
		conn.closeAfterAnswer.Store(true)
		conn.endAfterNotice()
	}
}

// matchingConns returns the connections that presented a matching key. A connection
// is listed once for each such key.
func (r *registry) matchingConns(match func(model.KeyHash, model.WorkspaceID) bool) []*callerConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*callerConn
	for key, conns := range r.conns {
		for conn := range conns {
			if match(key, conn.keyWorkspaces[key]) {
				out = append(out, conn)
			}
		}
	}
	return out
}

// addToSet adds v to the set at m[k].
func addToSet[K, V comparable](m map[K]map[V]struct{}, k K, v V) {
	if m[k] == nil {
		m[k] = map[V]struct{}{}
	}
	m[k][v] = struct{}{}
}

// removeFromSet removes v from the set at m[k], and the set if it becomes empty.
func removeFromSet[K, V comparable](m map[K]map[V]struct{}, k K, v V) {
	delete(m[k], v)
	if len(m[k]) == 0 {
		delete(m, k)
	}
}
