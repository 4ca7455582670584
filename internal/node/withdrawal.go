package node

import (
	"slices"
	"sync"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// withdrawal is a withdrawn key or workspace whose requests may still be with
// targets on this host.
type withdrawal struct {
	// workspace is withdrawn, or holds the withdrawn key.
	workspace model.WorkspaceID
	// key is zero if the whole workspace is withdrawn.
	key model.KeyHash
	// endsAt is when the requests in flight are ended.
	endsAt model.Instant
}

// withdrawals holds the withdrawals after which requests in flight are still to be
// ended. It is safe for concurrent use.
type withdrawals struct {
	mu      sync.Mutex
	pending []withdrawal
}

// add adds a withdrawal.
func (w *withdrawals) add(v withdrawal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, v)
}

// dropReissued removes the withdrawals of keys that are valid again.
func (w *withdrawals) dropReissued(cfg model.Config) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = slices.DeleteFunc(w.pending, func(v withdrawal) bool {
		if v.key == (model.KeyHash{}) {
			return false
		}
		_, ok := cfg.KeyFor(v.key)
		return ok
	})
}

// takeDue removes and returns the withdrawals whose requests are to be ended now.
func (w *withdrawals) takeDue(now model.Instant) []withdrawal {
	w.mu.Lock()
	defer w.mu.Unlock()
	var due []withdrawal
	w.pending = slices.DeleteFunc(w.pending, func(v withdrawal) bool {
		if v.endsAt > now {
			return false
		}
		due = append(due, v)
		return true
	})
	return due
}

// endOf returns when the requests of a withdrawn workspace are ended, or false if
// they end only by themselves.
func (w *withdrawals) endOf(ws model.WorkspaceID) (model.Instant, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.pending {
		if v.workspace == ws && v.key == (model.KeyHash{}) {
			return v.endsAt, true
		}
	}
	return 0, false
}

// withdrawKeys refuses the waiting requests of keys and workspaces that are no
// longer valid in cfg, and leaves those that are with a target alone. On a host that
// serves confirmed configurations only, these end when its right to serve by the
// older one does, as on a host that does not hear of the withdrawal; the evidence of
// silence relies on this bound. A key that has moved to another workspace is valid:
// its waiting requests go on for that one.
func (h *entryHost) withdrawKeys(old, cfg model.Config) {
	h.withdrawals.dropReissued(cfg)
	endsAt := model.Instant(h.freshUntil.Load()).Add(h.timing.CutoffDelay)
	for key := range old.Keys.RemovedIn(cfg.Keys) {
		if moved, ok := cfg.KeyFor(key.Hash); ok {
			h.log.Info("key moved", "workspace", key.Workspace, "key", key.ID, "to", moved.Workspace)
			continue
		}
		n := h.server.WithdrawKey(key.Hash)
		h.endLater(withdrawal{workspace: key.Workspace, key: key.Hash, endsAt: endsAt}, n)
		h.log.Info("key withdrawn", "workspace", key.Workspace, "key", key.ID, "requests_in_flight", n)
	}
	for ws := range cfg.Workspaces.ChangedSince(old.Workspaces) {
		if before, _ := old.Workspaces.Get(ws.ID); ws.Withdrawn && !before.Withdrawn {
			n := h.server.WithdrawWorkspace(ws.ID)
			h.endLater(withdrawal{workspace: ws.ID, endsAt: endsAt}, n)
			h.log.Info("workspace withdrawn", "workspace", ws.ID, "requests_in_flight", n)
		}
	}
}

// endLater ends the requests of a withdrawal at its time, if there are any and this
// host serves confirmed configurations only.
func (h *entryHost) endLater(v withdrawal, requests int) {
	if requests > 0 && !h.serveUnconfirmed {
		h.withdrawals.add(v)
	}
}

// endWithdrawn ends the requests of withdrawn keys and workspaces whose time has
// passed.
func (h *entryHost) endWithdrawn() {
	for _, v := range h.withdrawals.takeDue(h.clock.now()) {
		n := 0
		if v.key == (model.KeyHash{}) {
			n = h.server.CancelWorkspace(v.workspace)
		} else {
			n = h.server.CancelKey(v.key)
		}
		if n > 0 {
			h.log.Info("ended requests of a withdrawn key or workspace that were still with targets", "workspace", v.workspace, "requests", n)
		}
	}
}
