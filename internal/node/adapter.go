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

// ErrNotAuthoritative reports that this host cannot answer for the fleet at the
// moment.
type ErrNotAuthoritative struct {
	// Leader is the control host to ask instead, or empty if none is known.
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

// ControlAPI is what a control host offers to an adapter, which serves another
// operators' interface on a port of its own. It is safe for concurrent use.
type ControlAPI interface {
	// Apply replaces the whole configuration and waits until the change is
	// accepted. A revision that is not higher than the newest is acknowledged as
	// superseded. Apply returns ErrNotAuthoritative if the change was not
	// proposed.
	Apply(ctx context.Context, change model.ReplaceContent) (model.Result, error)
	// EvacuateZone ends, and ReturnZone resumes, the assignment of targets in a zone.
	// Both wait until the change is accepted, and acknowledge a state that is accepted
	// already. They return ErrNotAuthoritative if the change was not proposed.
	EvacuateZone(ctx context.Context, zone model.ZoneName) (model.Result, error)
	ReturnZone(ctx context.Context, zone model.ZoneName) (model.Result, error)
	// NewestConfig returns the newest configuration with its document. It returns
	// ErrNotAuthoritative unless this host leads with a live quorum and a
	// configuration was applied.
	NewestConfig() (model.Config, error)
	// HasService reports whether the configuration in force on this host has a
	// service. Before the first configuration it is true.
	HasService(name model.ServiceName) bool
	// Announce handles an announcement of a target that the adapter has
	// validated. It returns ErrNotAuthoritative if this host does not reach a
	// majority of the fleet. Otherwise the disks of a majority of the control hosts
	// hold the announced run and state, so that no restart of control hosts makes a
	// target that leaves ready again. The targets in replaced, whose address the
	// target has taken over, are announced as they are, without waiting for disks.
	Announce(a model.Announcement, replaced ...model.Announcement) error
	// AnnounceLeave announces that the newest known run of a target leaves, and
	// returns the announcement. Another host may have heard of a later run than the
	// announcement that the adapter heard last, which is zero if it heard of none.
	// AnnounceLeave returns ErrNotAuthoritative if no run is known, or in place of an
	// acknowledgement as Announce does.
	AnnounceLeave(target model.TargetID, heard model.Announcement) (model.Announcement, error)
	// ControlHostInZone returns a live control host of a zone, or this host if
	// none is known. Targets announce themselves to that host, so that
	// announcements cause no traffic between zones.
	ControlHostInZone(zone model.ZoneName) model.HostID
}

// EntryAPI is what an entry host offers to an adapter.
type EntryAPI interface {
	// Ready returns an error that says what the host waits for before it can
	// serve callers, or nil.
	Ready() error
}

// ControlAdapter is an additional HTTP port of a control host.
type ControlAdapter struct {
	// Addr is the address to listen on, as ip:port.
	Addr       string
	NewHandler func(ControlAPI) http.Handler
}

// EntryAdapter is an additional HTTP port of an entry host.
type EntryAdapter struct {
	// Addr is the address to listen on, as ip:port.
	Addr       string
	NewHandler func(EntryAPI) http.Handler
}

// maxConfirmationAge bounds the age of the last confirmation of a host that
// accepts announcements. It spans three asks. Without a majority the host could
// not reach the owners.
const maxConfirmationAge = 1200 * time.Millisecond

// controlAPI implements ControlAPI.
type controlAPI struct {
	control *controlHost
	// seat and owner are nil on a host that does not join the fleet
	// automatically.
	seat  *seatHost
	owner *ownerHost
	// minCopies is the minimum number of synced copies of an accepted change.
	minCopies int
}

func (p *controlAPI) NewestConfig() (model.Config, error) {
	var cfg model.Config
	var leadership ctrl.LeadershipConfirmation
	var leader model.HostID
	p.control.core.read(func(now model.Instant) {
		cfg, leadership, leader = p.control.node.Config(), p.control.node.ConfirmLeadership(now), p.control.node.Status().Leader
	})
	switch {
	case !leadership.OK:
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
	if copies, isMember := p.control.syncedCopies(); copies < p.minCopies || !isMember {
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
	return p.owner.controlHostInZone(zone)
}

func (p *controlAPI) HasService(name model.ServiceName) bool {
	if p.owner == nil {
		return true
	}
	services := p.owner.cfg.Load().Services
	_, ok := services.Get(name)
	return ok || services.Len() == 0
}
