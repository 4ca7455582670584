package node

import (
	"context"
	"time"

	"tarragongauge.example/tarragongauge/internal/admin"
	"tarragongauge.example/tarragongauge/internal/burn"
	"tarragongauge.example/tarragongauge/internal/ctrl"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// askTimeout bounds the wait for the replies of entry hosts to a report.
const askTimeout = 1500 * time.Millisecond

// Propose submits a change and waits for its result.
func (c *controlHost) Propose(ctx context.Context, p model.Proposal) (model.Result, error) {
	return c.propose(ctx, p)
}

// Config returns the newest configuration. A host that follows a leader sends
// the operator there, since it learns of a commit up to a heartbeat later and a
// change based on its version would conflict. Without a leader nothing can
// change, and the host answers from what it has, unless its log holds entries
// that may have been accepted: after a restart it does not know which were.
func (c *controlHost) Config(context.Context) (model.Config, error) {
	var cfg model.Config
	var sure ctrl.LeadershipConfirmation
	var status ctrl.Status
	c.core.read(func(now model.Instant) {
		cfg, sure, status = c.node.Config(), c.node.ConfirmLeadership(now), c.node.Status()
	})
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	switch {
	case sure.OK:
		return cfg, nil
	case leader == c.self.Host:
		return model.Config{}, admin.ErrUnavailable{Cause: "this host leads without a majority; ask another control host or try again"}
	case leader != "":
		return model.Config{}, admin.ErrNotLeader{Leader: leader}
	case status.AppliedIndex < status.LastIndex:
		return model.Config{}, admin.ErrUnavailable{Cause: "this host has restarted and waits for a leader of control; try again in a few seconds"}
	default:
		return cfg, nil
	}
}

// applied returns the configuration that this host has applied.
func (c *controlHost) applied() model.Config {
	var cfg model.Config
	c.core.read(func(model.Instant) { cfg = c.node.Config() })
	return cfg
}

// History returns the newest n entries of the audit list.
func (c *controlHost) History(_ context.Context, n int) ([]opsapi.AuditEntry, error) {
	var list []ctrl.AuditEntry
	c.core.read(func(model.Instant) { list = c.node.AuditEntries(n) })
	out := make([]opsapi.AuditEntry, 0, len(list))
	for _, e := range list {
		entry, err := opsapi.FromAudit(e.Committed, e.Result)
		if err != nil {
			return nil, err
		}
		out = append(out, entry)
	}
	return out, nil
}

// leads returns an error unless this host leads with a live quorum.
func (c *controlHost) leads() error {
	var sure ctrl.LeadershipConfirmation
	c.core.read(func(now model.Instant) { sure = c.node.ConfirmLeadership(now) })
	if sure.OK {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.self.Host {
		return admin.ErrNotLeader{}
	}
	return admin.ErrNotLeader{Leader: c.leader}
}

// gather asks every entry host of the list and returns the replies that came in time.
func gather[A any](ctx context.Context, c *controlHost, w *waiters[uint64, A], members []seenMember, ask func(nonce uint64) proto.Message) map[model.HostID]A {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	questions := make([]question[A], 0, len(members))
	for _, m := range members {
		nonce := c.nonces.next()
		questions = append(questions, question[A]{m.member.Host, nonce, w.add(nonce)})
		c.send(m.member.Host, ask(nonce))
	}
	return collect(ctx, w, questions)
}

// question is one that a host was asked.
type question[A any] struct {
	host   model.HostID
	nonce  uint64
	answer <-chan A
}

// collect waits for the answers until ctx ends. An answer that arrived by then
// counts, also when an earlier question of the list used up the time.
func collect[A any](ctx context.Context, w *waiters[uint64, A], questions []question[A]) map[model.HostID]A {
	replies := map[model.HostID]A{}
	for _, q := range questions {
		select {
		case a := <-q.answer:
			replies[q.host] = a
			continue
		case <-ctx.Done():
		}
		if !w.remove(q.nonce) {
			replies[q.host] = <-q.answer
		}
	}
	return replies
}

// Burn returns the merged service-level counters of all entry hosts.
func (c *controlHost) Burn(ctx context.Context) ([]byte, error) {
	members := c.seenEntries()
	replies := gather(ctx, c, c.burns, members, func(nonce uint64) proto.Message { return proto.BurnAsk{Nonce: nonce} })
	fleet := burn.FleetCounts{At: burn.MinuteOf(time.Now()), Config: c.applied(), Set: burn.SeriesSet{}}
	for _, m := range members {
		reply, ok := replies[m.member.Host]
		if !ok {
			fleet.Missing = append(fleet.Missing, m.member.Host)
			continue
		}
		set, err := burn.Decode(reply.Data)
		if err != nil {
			c.log.Error(err, "cannot read the counters of a host", "host", m.member.Host)
			fleet.Missing = append(fleet.Missing, m.member.Host)
			continue
		}
		fleet.Set.Merge(set)
		fleet.Hosts++
	}
	return fleet.Encode()
}

// Status asks every entry host and seat for its state.
func (c *controlHost) Status(ctx context.Context) (opsapi.Status, error) {
	members := c.seen()
	replies := gather(ctx, c, c.statuses, members, func(nonce uint64) proto.Message { return proto.StatusAsk{Nonce: nonce} })
	version := c.applied().Version
	c.mu.Lock()
	status := opsapi.Status{Host: string(c.self.Host), Version: uint64(version), Leader: string(c.leader), Term: uint64(c.term)}
	c.mu.Unlock()
	if status.Leader == status.Host {
		status.Hosts = append(status.Hosts, opsapi.HostStatus{
			Host: status.Host, Role: "control", Zone: string(c.self.Zone), Addr: c.self.Addr, Answered: true,
		})
	}
	for _, m := range members {
		reply, ok := replies[m.member.Host]
		status.Hosts = append(status.Hosts, opsapi.HostStatus{
			Host: string(m.member.Host), Role: roleName(m.member.Role), Zone: string(m.member.Zone), Addr: m.member.Addr,
			Draining: m.member.Draining, Answered: ok, Detail: reply.Data,
		})
	}
	return status, nil
}

func roleName(r proto.Role) string {
	if r == proto.RoleSeat {
		return "seat"
	}
	return "entry"
}

// ClearQuarantine tells every entry host, of which the owner of the service acts on it.
func (c *controlHost) ClearQuarantine(_ context.Context, service model.ServiceName, ws model.WorkspaceID) error {
	for _, m := range c.seenEntries() {
		c.send(m.member.Host, proto.QuarantineClear{Service: service, Workspace: ws})
	}
	return nil
}
