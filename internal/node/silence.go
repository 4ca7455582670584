package node

import (
	"context"
	"fmt"

	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Silence asks every entry host for the evidence that a workspace has no
// traffic. Hosts that do not reply, and hosts that this control host never
// heard of, are covered once every confirmation of an older version has ended.
func (c *controlHost) Silence(ctx context.Context, id model.WorkspaceID) (opsapi.Evidence, error) {
	if err := c.leads(); err != nil {
		return opsapi.Evidence{}, err
	}
	ws, ok := c.applied().Workspaces.Get(id)
	if !ok {
		return opsapi.Evidence{}, model.ErrNotFound{Kind: "workspace", Name: string(id)}
	}
	out := opsapi.Evidence{Workspace: string(id), WithdrawnAt: uint64(ws.WithdrawnAt), Hosts: []opsapi.HostEvidence{}, Missing: []string{}}
	if !ws.Withdrawn {
		out.Missing = append(out.Missing, fmt.Sprintf("workspace %q is not withdrawn; withdraw it first", id))
		return out, nil
	}
	members := c.seenEntries()
	replies := gather(ctx, c, c.evidence, members, func(nonce uint64) proto.Message {
		return proto.EvidenceAsk{Nonce: nonce, Workspace: id}
	})
	cover, known := c.coverage(ws.WithdrawnAt)
	for _, m := range members {
		reply, answered := replies[m.member.Host]
		e := judgeHost(m, reply, answered, ws.WithdrawnAt, cover, known)
		out.Hosts = append(out.Hosts, e.evidence)
		if e.missing != "" {
			out.Missing = append(out.Missing, e.missing)
		}
	}
	out.Missing = append(out.Missing, missingBound(cover, known)...)
	out.Proved = len(out.Missing) == 0
	return out, nil
}

// coverage is the evidence rule on this host's clock.
type coverage struct {
	lease.Coverage
	now model.Instant
}

// endedMs is how long ago the right to serve under an older version ended; negative before that.
func (c coverage) endedMs() int64 { return c.now.Sub(c.CoveredAt).Milliseconds() }

// coverage returns false if this host does not know when the version was accepted.
func (c *controlHost) coverage(v model.Version) (coverage, bool) {
	var out coverage
	var known bool
	c.core.read(func(now model.Instant) {
		var accepted model.Instant
		accepted, known = c.node.AcceptedAt(v)
		out = coverage{Coverage: lease.CoverageOf(accepted, now, c.timing), now: now}
	})
	return out, known
}

// missingBound names the hosts that this control host never heard of, until they are covered.
func missingBound(cover coverage, known bool) []string {
	switch {
	case !known:
		return []string{"this control host does not know yet when the withdrawal was accepted; ask again in a few seconds"}
	case !cover.Covered:
		return []string{fmt.Sprintf("a host that is cut off may serve for another %d ms; ask again after that", -cover.endedMs())}
	default:
		return nil
	}
}

type judgement struct {
	evidence opsapi.HostEvidence
	// missing is empty if the host is covered.
	missing string
}

func judgeHost(m seenMember, reply proto.EvidenceReply, answered bool, withdrawn model.Version, cover coverage, known bool) judgement {
	e := opsapi.HostEvidence{Host: string(m.member.Host), Zone: string(m.member.Zone), Answered: answered}
	if !answered {
		return judgeUnreachable(e, cover, known)
	}
	e.Version = uint64(reply.HeldVersion)
	e.InFlight = reply.InFlight
	if reply.EverAdmitted {
		ms := reply.SinceLastAdmission.Milliseconds()
		e.LastAdmittedMs = &ms
	}
	switch {
	case reply.InFlight > 0:
		return judgement{e, fmt.Sprintf("host %q still has %d requests of the workspace in flight", m.member.Host, reply.InFlight)}
	case reply.HeldVersion < withdrawn && !(known && cover.Covered):
		return judgement{e, fmt.Sprintf("host %q has version %d, which is older than the withdrawal in version %d", m.member.Host, reply.HeldVersion, withdrawn)}
	default:
		e.Covered = true
		return judgement{evidence: e}
	}
}

func judgeUnreachable(e opsapi.HostEvidence, cover coverage, known bool) judgement {
	if !known {
		return judgement{e, fmt.Sprintf("host %q did not reply", e.Host)}
	}
	ms := cover.endedMs()
	e.RightEndedMs = &ms
	if !cover.Covered {
		return judgement{e, fmt.Sprintf("host %q did not reply and may serve for another %d ms", e.Host, -ms)}
	}
	e.Covered = true
	return judgement{evidence: e}
}
