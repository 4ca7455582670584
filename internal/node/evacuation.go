package node

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (p *controlAPI) EvacuateZone(ctx context.Context, zone model.ZoneName) (model.Result, error) {
	return p.changeZone(ctx, zone, model.EvacuateZone{Zone: zone}, true)
}

func (p *controlAPI) ReturnZone(ctx context.Context, zone model.ZoneName) (model.Result, error) {
	return p.changeZone(ctx, zone, model.ReturnZone{Zone: zone}, false)
}

// changeZone proposes a change after which a zone is evacuated or not, unless the
// accepted configuration has that state already.
func (p *controlAPI) changeZone(ctx context.Context, zone model.ZoneName, change model.Change, evacuated bool) (model.Result, error) {
	if copies, isMember := p.control.syncedCopies(); copies < p.minCopies || !isMember {
		return model.Result{}, ErrNotAuthoritative{Cause: fmt.Sprintf("an accepted change would have %d synced copies, and %d are needed", copies, p.minCopies)}
	}
	if version, ok := p.control.hasZoneState(zone, evacuated); ok {
		return model.Result{Kind: model.ResultAccepted, Version: version}, nil
	}
	// The first result of a change id is final, but a zone may be evacuated, returned
	// and evacuated again, so each call has an id of its own.
	result, err := p.control.propose(ctx, model.Proposal{
		ID: model.ChangeID("zone-" + rand.Text()), Actor: "operator", Reason: "evacuation of a zone", Change: change,
	})
	if err != nil {
		return result, err
	}
	p.control.log.Info("change of a zone proposed", "zone", zone, "evacuated", evacuated, "result", int(result.Kind), "version", result.Version, "cause", result.Message)
	return result, nil
}

// hasZoneState reports whether a zone is evacuated, or not, in the newest
// configuration, and returns its version. It is true only if this host leads with a
// live quorum, the configuration is accepted and no later entry is in the log: an
// opposite change that is not committed yet would otherwise follow the
// acknowledgement.
func (c *controlHost) hasZoneState(zone model.ZoneName, evacuated bool) (version model.Version, ok bool) {
	c.core.read(func(now model.Instant) {
		cfg, status := c.node.Config(), c.node.Status()
		version = cfg.Version
		ok = c.node.ConfirmLeadership(now).OK && cfg.IsEvacuated(zone) == evacuated &&
			status.AcceptedVersion >= cfg.Version && status.LastIndex == status.CommitIndex
	})
	return version, ok
}

// checkZone returns the result of a change that evacuates a zone in which there is
// neither a host nor a target, and false for all other changes.
func (c *controlHost) checkZone(ctx context.Context, p model.Proposal) (model.Result, bool) {
	change, ok := p.Change.(model.EvacuateZone)
	if !ok || c.appliedConfig().IsEvacuated(change.Zone) {
		// A command that is sent again is acknowledged even if the zone is empty by now.
		return model.Result{}, false
	}
	zones := c.nearZones()
	if _, ok := zones[change.Zone]; ok {
		return model.Result{}, false
	}
	c.addOwnedZones(ctx, zones)
	if _, ok := zones[change.Zone]; ok {
		return model.Result{}, false
	}
	names := make([]string, 0, len(zones))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		names = append(names, string(zone))
	}
	return model.Result{
		ID: p.ID, Kind: model.ResultInvalid, Version: c.appliedConfig().Version,
		Message: fmt.Sprintf("no host and no target is in the zone %q; give one of %s", change.Zone, strings.Join(names, ", ")),
	}, true
}

// nearZones returns the zones of the hosts and targets that this host knows.
func (c *controlHost) nearZones() map[model.ZoneName]struct{} {
	zones := map[model.ZoneName]struct{}{c.self.Zone: {}}
	for _, m := range c.recentMembers() {
		zones[m.member.Zone] = struct{}{}
	}
	if c.ownerZones != nil {
		for _, zone := range c.ownerZones() {
			zones[zone] = struct{}{}
		}
	}
	delete(zones, "")
	return zones
}

// addOwnedZones adds the zones of the targets that entry hosts report as owners of
// services. Control hosts that own no services do not know the targets.
func (c *controlHost) addOwnedZones(ctx context.Context, zones map[model.ZoneName]struct{}) {
	replies := queryHosts(ctx, c, c.statusReplies, c.recentEntryHosts(), func(nonce uint64) proto.Message { return proto.StatusAsk{Nonce: nonce} })
	for _, reply := range replies {
		var detail opsapi.EntryDetail
		if json.Unmarshal(reply.Data, &detail) != nil {
			continue
		}
		for _, s := range detail.Services {
			for _, t := range s.Targets {
				zones[model.ZoneName(t.Zone)] = struct{}{}
			}
		}
	}
	delete(zones, "")
}

// storeMemberZones stores the zones of the live hosts.
func (p *ownerHost) storeMemberZones(members []proto.Member) {
	zones := make([]model.ZoneName, 0, len(members))
	for _, m := range members {
		zones = append(zones, m.Zone)
	}
	p.memberZones.Store(&zones)
}

// zones returns the zones of the live hosts and of the known targets.
func (p *ownerHost) zones() []model.ZoneName {
	var zones []model.ZoneName
	if members := p.memberZones.Load(); members != nil {
		zones = slices.Clone(*members)
	}
	for _, a := range p.knownTargets.targets() {
		zones = append(zones, a.Zone)
	}
	return zones
}
