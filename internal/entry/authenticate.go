package entry

import (
	"context"
	"net/http"
	"strings"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// codeKeyMoved is the code of keyMoved, which no caller sees.
const codeKeyMoved Code = "key_moved"

// keyMoved returns the error of a request whose key now belongs to another workspace.
// The request is then served for that one.
func keyMoved() *ErrRefused {
	return refuse(http.StatusServiceUnavailable, codeKeyMoved, "the key belongs to another workspace now; send the request again").withRetryAfter(otherHostRetryAfter)
}

// isKeyMoved reports whether err is keyMoved.
func isKeyMoved(err *ErrRefused) bool { return err != nil && err.Code == codeKeyMoved }

// authenticate finds the workspace of the request by its key and registers the
// request as in flight. The key is looked up before and after the registration:
// a withdrawal then either finds the registered request or is noticed here.
func (c *call) authenticate(ctx context.Context) *ErrRefused {
	keys := presentedKeys(c.r.Header, c.s.headerNames.KeyScheme)
	c.filter = newKeyFilter(c.cfg, keys, c.route.Open)
	if c.route.Open {
		return nil
	}
	for {
		key, err := resolveKey(c.cfg, keys)
		if err != nil {
			return err
		}
		c.register(ctx, key)
		err = c.checkKey()
		if err == nil {
			return nil
		}
		c.unregister()
		if !isKeyMoved(err) {
			return err
		}
		c.cfg = c.s.decider.Config()
	}
}

// register adds the request to those in flight, under the workspace of its key.
func (c *call) register(ctx context.Context, key model.Key) {
	// The name shares memory with the configuration, which the registry would
	// otherwise keep alive.
	c.workspace, c.keyHash = model.WorkspaceID(strings.Clone(string(key.Workspace))), key.Hash
	c.inFlight = &inFlightRequest{workspace: c.workspace, key: key.Hash, cancel: c.cancel, endWait: c.endWait}
	if deadline, ok := ctx.Deadline(); ok {
		c.inFlight.endsBy = deadline.Add(errorWriteGrace)
	}
	c.s.registry.register(c.inFlight, callerConnOf(c.r.Context()))
}

// unregister removes the request from those in flight.
func (c *call) unregister() {
	if c.inFlight != nil {
		c.s.registry.unregister(c.inFlight)
	}
}

// checkKey returns an error if the key was withdrawn or moved to another workspace
// since the request was authenticated, or if this host can no longer confirm its
// configuration.
func (c *call) checkKey() *ErrRefused {
	if c.route.Open {
		return nil
	}
	key, ok := c.s.decider.Config().KeyFor(c.keyHash)
	switch {
	case !ok:
		return keyWithdrawn()
	case key.Workspace != c.workspace:
		return keyMoved()
	}
	if !c.s.decider.Fresh() {
		return notFresh()
	}
	return nil
}

// hasKey reports whether the key of the request is still valid for its workspace.
func (c *call) hasKey() bool {
	key, ok := c.s.decider.Config().KeyFor(c.keyHash)
	return ok && key.Workspace == c.workspace
}
