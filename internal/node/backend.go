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

// replyTimeout bounds the wait for the replies of entry hosts and seats to one
// request.
const replyTimeout = 1500 * time.Millisecond

// Propose submits a change and waits for its result. It refuses to evacuate a zone
// that the fleet does not have.
func (c *controlHost) Propose(ctx context.Context, p model.Proposal) (model.Result, error) {
	if result, refused := c.checkZone(ctx, p); refused {
		return result, nil
	}
	return c.propose(ctx, p)
}

// Config returns the newest configuration. A follower returns ErrNotLeader,
// because it learns of a commit up to one heartbeat late and a change based on
// its older version would conflict. A host that knows no leader may have missed
// changes while it was away, and after a restart does not know which entries of its
// log were accepted. It returns ErrUnavailable unless its log is empty.
func (c *controlHost) Config(context.Context) (model.Config, error) {
	var cfg model.Config
	var leadership ctrl.LeadershipConfirmation
	var status ctrl.Status
	c.core.read(func(now model.Instant) {
		cfg, leadership, status = c.node.Config(), c.node.ConfirmLeadership(now), c.node.Status()
	})
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	switch {
	case leadership.OK:
		return cfg, nil
	case leader == c.self.Host:
		return model.Config{}, admin.ErrUnavailable{Cause: "this host leads without a majority; ask another control host or try again"}
	case leader != "":
		return model.Config{}, admin.ErrNotLeader{Leader: leader}
	case status.LastIndex > 0:
		return model.Config{}, admin.ErrUnavailable{Cause: "this host knows no leader of control and may have missed changes; ask another control host or try again in a few seconds"}
	default:
		return cfg, nil
	}
}

// appliedConfig returns the configuration that this host has applied.
func (c *controlHost) appliedConfig() model.Config {
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

// requireLeadership returns an error unless this host leads with a live quorum.
func (c *controlHost) requireLeadership() error {
	var leadership ctrl.LeadershipConfirmation
	c.core.read(func(now model.Instant) { leadership = c.node.ConfirmLeadership(now) })
	if leadership.OK {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader == c.self.Host {
		return admin.ErrNotLeader{}
	}
	return admin.ErrNotLeader{Leader: c.leader}
}

// queryHosts sends a request to each of the members and returns the replies that
// arrived within replyTimeout, by host.
func queryHosts[A any](ctx context.Context, c *controlHost, w *waiters[uint64, A], members []seenMember, ask func(nonce uint64) proto.Message) map[model.HostID]A {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	queries := make([]hostQuery[A], 0, len(members))
	for _, m := range members {
		nonce := c.nonces.next()
		queries = append(queries, hostQuery[A]{m.member.Host, nonce, w.add(nonce)})
		c.send(m.member.Host, ask(nonce))
	}
	return collectReplies(ctx, w, queries)
}

// hostQuery is a request that was sent to one host, with the channel for the
// reply.
type hostQuery[A any] struct {
	host   model.HostID
	nonce  uint64
	answer <-chan A
}

// collectReplies waits for the replies until ctx ends. A reply that arrived
// before then counts even if the wait for an earlier host of the list used up the
// time.
func collectReplies[A any](ctx context.Context, w *waiters[uint64, A], queries []hostQuery[A]) map[model.HostID]A {
	replies := map[model.HostID]A{}
	for _, q := range queries {
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

// Burn returns the merged service-level counters of all entry hosts, encoded as
// a burn.Fleet.
func (c *controlHost) Burn(ctx context.Context) ([]byte, error) {
	members := c.recentEntryHosts()
	replies := queryHosts(ctx, c, c.burnReplies, members, func(nonce uint64) proto.Message { return proto.BurnAsk{Nonce: nonce} })
	fleet := burn.FleetCounts{At: burn.MinuteOf(time.Now()), Config: c.appliedConfig(), Set: burn.SeriesSet{}}
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

// Status returns the state of this host and the states that entry hosts and seats
// reply with.
func (c *controlHost) Status(ctx context.Context) (opsapi.Status, error) {
	members := c.recentMembers()
	replies := queryHosts(ctx, c, c.statusReplies, members, func(nonce uint64) proto.Message { return proto.StatusAsk{Nonce: nonce} })
	cfg := c.appliedConfig()
	c.mu.Lock()
	status := opsapi.Status{Host: string(c.self.Host), Version: uint64(cfg.Version), Leader: string(c.leader), Term: uint64(c.term)}
	c.mu.Unlock()
	for _, zone := range cfg.Evacuated {
		status.Evacuated = append(status.Evacuated, string(zone))
	}
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

// ClearQuarantine sends the request to every entry host. Only the owner of the
// service acts on it.
func (c *controlHost) ClearQuarantine(_ context.Context, service model.ServiceName, ws model.WorkspaceID) error {
	for _, m := range c.recentEntryHosts() {
		c.send(m.member.Host, proto.QuarantineClear{Service: service, Workspace: ws})
	}
	return nil
}
