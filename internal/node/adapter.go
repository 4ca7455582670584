package node

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// ErrNotAuthoritative tells that this host cannot say which configuration is the newest.
type ErrNotAuthoritative struct {
	// Leader is the control host to ask, or empty if none is known.
	Leader model.HostID
	Cause  string
}

func (e ErrNotAuthoritative) Error() string {
	return fmt.Sprintf("this host cannot answer for the fleet: %s; ask the leader %q or try again", e.Cause, e.Leader)
}

// IsErrNotAuthoritative reports whether err is or wraps an ErrNotAuthoritative.
func IsErrNotAuthoritative(err error) bool {
	var e ErrNotAuthoritative
	return errors.As(err, &e)
}

// ControlAPI is what an adapter to another operators' interface may ask of a
// control host. It is safe for concurrent use.
type ControlAPI interface {
	// Apply replaces the whole configuration and waits until it is accepted. A
	// revision that is not higher than the newest is acknowledged as superseded.
	// It returns ErrNotAuthoritative if the change was not taken.
	Apply(ctx context.Context, change model.ReplaceContent) (model.Result, error)
	// NewestConfig returns the newest configuration with its document. It returns
	// ErrNotAuthoritative unless this host leads with a live quorum.
	NewestConfig() (model.Config, error)
	// Announce takes an announcement of a target that the adapter has checked.
	Announce(a model.Announcement) error
	// ControlHostInZone returns a live control host of a zone, or this host if none is
	// known: targets announce themselves there without bytes between zones.
	ControlHostInZone(zone model.ZoneName) model.HostID
}

// EntryAPI is what an adapter may ask of an entry host.
type EntryAPI interface {
	// Ready returns what the host waits for before it can serve callers.
	Ready() error
}

// ControlAdapter makes the handler of a further port of a control host.
type ControlAdapter struct {
	// Addr is ip:port.
	Addr       string
	NewHandler func(ControlAPI) http.Handler
}

// EntryAdapter makes the handler of a further port of an entry host.
type EntryAdapter struct {
	// Addr is ip:port.
	Addr       string
	NewHandler func(EntryAPI) http.Handler
}

// announceAge bounds the age of the last confirmation of a host that takes
// announcements: three asks. Without a majority it could not tell the owners.
const announceAge = 1200 * time.Millisecond

const (
	// leaveWait bounds the wait for the confirmation of a leave: less than the
	// second after which a target asks another host, more than an ask and its reply.
	leaveWait = 700 * time.Millisecond
	// leavePoll is the interval at which the confirmation is looked for.
	leavePoll = 10 * time.Millisecond
)

// controlAPI implements ControlAPI.
type controlAPI struct {
	control *controlHost
	// seat and owner are nil on a host that the operators made a control host.
	seat  *seatHost
	owner *ownerPart
	// minCopies is the number of synced copies that an accepted change must have.
	minCopies int
}

func (p *controlAPI) NewestConfig() (model.Config, error) {
	var cfg model.Config
	var sure ctrl.LeadershipConfirmation
	var leader model.HostID
	p.control.core.read(func(now model.Instant) {
		cfg, sure, leader = p.control.node.Config(), p.control.node.ConfirmLeadership(now), p.control.node.Status().Leader
	})
	switch {
	case !sure.OK:
		return model.Config{}, ErrNotAuthoritative{Leader: leader, Cause: "it does not lead with a live quorum"}
	case cfg.Revision == 0:
		return model.Config{}, ErrNotAuthoritative{Leader: leader, Cause: "no configuration was applied yet"}
	default:
		return cfg, nil
	}
}

func (p *controlAPI) Apply(ctx context.Context, change model.ReplaceContent) (model.Result, error) {
	if cfg, err := p.NewestConfig(); err == nil && change.Revision <= cfg.Revision {
		return model.Result{Kind: model.ResultSuperseded, Version: cfg.Version}, nil
	}
	if copies, isMember := p.control.copies(); copies < p.minCopies || !isMember {
		return model.Result{}, ErrNotAuthoritative{Cause: fmt.Sprintf("an accepted change would have %d synced copies, and %d are needed", copies, p.minCopies)}
	}
	digest := sha256.Sum256(change.Document)
	result, err := p.control.propose(ctx, model.Proposal{
		ID:     model.ChangeID(fmt.Sprintf("apply-%d-%s", change.Revision, hex.EncodeToString(digest[:8]))),
		Actor:  "operator",
		Reason: "whole configuration",
		Change: change,
	})
	if err != nil {
		return result, err
	}
	p.control.log.Info("whole configuration proposed", "revision", change.Revision, "result", int(result.Kind), "version", result.Version, "cause", result.Message)
	return result, nil
}

func (p *controlAPI) ControlHostInZone(zone model.ZoneName) model.HostID {
	if p.owner == nil {
		return p.control.self.Host
	}
	return p.owner.nearControl(zone)
}

func (p *controlAPI) Announce(a model.Announcement) error {
	if p.owner == nil || !p.seat.confirmedWithin(announceAge) {
		return ErrNotAuthoritative{Cause: "it does not reach a majority of the fleet"}
	}
	heard := p.seat.clock.now()
	p.owner.announce(a)
	if a.State == model.TargetReady {
		return nil
	}
	// The other control hosts were told on the links that the next confirmation
	// comes from. A host that was just cut off would acknowledge what none of them
	// learns before the targets must get no more work.
	if !p.seat.confirmedSince(heard, leaveWait) {
		return ErrNotAuthoritative{Cause: "it was not confirmed to reach a majority of the fleet since the target announced that it leaves"}
	}
	return nil
}
