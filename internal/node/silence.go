package node

import (
	"context"
	"fmt"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Silence asks every entry host for the evidence that a workspace has no traffic.
// Hosts that do not reply, and hosts that this control host has never heard from,
// are covered once every confirmation of an older version has expired.
func (c *controlHost) Silence(ctx context.Context, id model.WorkspaceID) (opsapi.Evidence, error) {
	if err := c.requireLeadership(); err != nil {
		return opsapi.Evidence{}, err
	}
	ws, ok := c.appliedConfig().Workspaces.Get(id)
	if !ok {
		return opsapi.Evidence{}, model.ErrNotFound{Kind: "workspace", Name: string(id)}
	}
	out := opsapi.Evidence{Workspace: string(id), WithdrawnAt: uint64(ws.WithdrawnAt), Hosts: []opsapi.HostEvidence{}, Missing: []string{}}
	if !ws.Withdrawn {
		out.Missing = append(out.Missing, fmt.Sprintf("workspace %q is not withdrawn; withdraw it first", id))
		return out, nil
	}
	members := c.recentEntryHosts()
	replies := queryHosts(ctx, c, c.evidenceReplies, members, func(nonce uint64) proto.Message {
		return proto.EvidenceAsk{Nonce: nonce, Workspace: id}
	})
	cover, acceptanceKnown := c.coverage(ws.WithdrawnAt)
	for _, m := range members {
		reply, answered := replies[m.member.Host]
		e := evaluateHost(m, reply, answered, ws.WithdrawnAt, cover, acceptanceKnown)
		out.Hosts = append(out.Hosts, e.evidence)
		if e.missing != "" {
			out.Missing = append(out.Missing, e.missing)
		}
	}
	out.Missing = append(out.Missing, missingUnseenHosts(cover, acceptanceKnown)...)
	out.Proved = len(out.Missing) == 0
	return out, nil
}

// coverage holds the result of the evidence rule for one version, on this host's
// clock.
type coverage struct {
	lease.Coverage
	now model.Instant
	// unbounded is set if hosts may serve without a confirmation. The time of the
	// coverage then says nothing about a single host.
	unbounded bool
}

// covers reports whether a host has lost the right to serve under an older version.
func (c coverage) covers() bool { return c.Covered && !c.unbounded }

// sinceCoveredMs returns the milliseconds since the right to serve under an older
// version ended. It is negative before that.
func (c coverage) sinceCoveredMs() int64 { return c.now.Sub(c.CoveredAt).Milliseconds() }

// coverage returns the coverage of a version. It returns false if this host does
// not know when the version was accepted.
func (c *controlHost) coverage(v model.Version) (coverage, bool) {
	var out coverage
	var acceptanceKnown bool
	c.core.read(func(now model.Instant) {
		var acceptedAt model.Instant
		acceptedAt, acceptanceKnown = c.node.AcceptedAt(v)
		out = coverage{Coverage: lease.CoverageOf(acceptedAt, now, c.timing), now: now, unbounded: c.serveUnconfirmed}
	})
	return out, acceptanceKnown
}

// missingUnseenHosts returns the evidence that is missing because of hosts that
// this control host has never heard from.
func missingUnseenHosts(cover coverage, acceptanceKnown bool) []string {
	switch {
	case !acceptanceKnown:
		return []string{"this control host does not know yet when the withdrawal was accepted; ask again in a few seconds"}
	case !cover.Covered:
		return []string{fmt.Sprintf("a host that is cut off may serve for another %d ms; ask again after that", -cover.sinceCoveredMs())}
	default:
		return nil
	}
}

// hostResult is the evidence of one host.
type hostResult struct {
	evidence opsapi.HostEvidence
	// missing says which evidence is missing. It is empty if the host is covered.
	missing string
}

// evaluateHost evaluates the evidence of one host about a withdrawn workspace.
func evaluateHost(m seenMember, reply proto.EvidenceReply, answered bool, withdrawnAt model.Version, cover coverage, acceptanceKnown bool) hostResult {
	e := opsapi.HostEvidence{Host: string(m.member.Host), Zone: string(m.member.Zone), Answered: answered}
	if !answered {
		return evaluateUnreachable(e, cover, acceptanceKnown)
	}
	e.Version = uint64(reply.HeldVersion)
	e.InFlight = reply.InFlight
	if reply.EverAdmitted {
		ms := reply.SinceLastAdmission.Milliseconds()
		e.LastAdmittedMs = &ms
	}
	switch {
	case reply.InFlight > 0:
		ms := reply.EndsWithin.Milliseconds()
		e.EndsWithinMs = &ms
		return hostResult{e, fmt.Sprintf("host %q still has %d requests of the workspace in flight, which end within %d ms", m.member.Host, reply.InFlight, ms)}
	case reply.HeldVersion < withdrawnAt && !(acceptanceKnown && cover.covers()):
		return hostResult{e, fmt.Sprintf("host %q has version %d, which is older than the withdrawal in version %d", m.member.Host, reply.HeldVersion, withdrawnAt)}
	default:
		e.Covered = true
		return hostResult{evidence: e}
	}
}

// evaluateUnreachable evaluates a host that did not reply. The host counts as
// covered once its right to serve has ended, which it never does if hosts may serve
// without a confirmation.
func evaluateUnreachable(e opsapi.HostEvidence, cover coverage, acceptanceKnown bool) hostResult {
	if !acceptanceKnown {
		return hostResult{e, fmt.Sprintf("host %q did not reply", e.Host)}
	}
	if cover.unbounded {
		return hostResult{e, fmt.Sprintf("host %q did not reply and may serve by an older configuration until it hears of the withdrawal; stop it or restore its links, and ask again", e.Host)}
	}
	ms := cover.sinceCoveredMs()
	e.RightEndedMs = &ms
	if !cover.Covered {
		return hostResult{e, fmt.Sprintf("host %q did not reply and may serve for another %d ms", e.Host, -ms)}
	}
	e.Covered = true
	return hostResult{evidence: e}
}
