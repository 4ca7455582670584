package lease

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// transitMost is how long a reply is taken to be on its way. A host that hears
	// a later reply asks for what it lacks at once.
	transitMost = 2 * time.Second
	// toldEvery is how often a relay forgets what it told hosts long ago.
	toldEvery = 30 * time.Second
)

// told is what a host holds once the replies on their way to it have arrived.
type told struct {
	incarnation model.Incarnation
	// nonce is that of the newest reply that carried a configuration or a list.
	nonce uint64
	at    model.Instant
	have  model.Version

	members, owners, targets, peers uint64
}

// tellings are what a relay told the hosts that ask it. A host that starts asks
// several times before the configuration and the lists have reached it over a
// slow link; each of them is sent once, as long as it may still arrive.
type tellings struct {
	hosts    map[model.HostID]told
	forgetAt model.Instant
}

// expected returns an ask as it will be once the replies on their way have
// arrived. An ask that tells of a later reply is taken as it is.
func (t *tellings) expected(now model.Instant, ask proto.FreshAsk) proto.FreshAsk {
	last, ok := t.hosts[ask.Member.Host]
	if !ok || last.incarnation != ask.Member.Incarnation || ask.LastReplyNonce >= last.nonce || now.Sub(last.at) > transitMost {
		return ask
	}
	ask.HeldVersion = max(ask.HeldVersion, last.have)
	ask.MembersDigest, ask.OwnersDigest = last.members, last.owners
	ask.TargetsDigest, ask.PeersDigest = last.targets, last.peers
	return ask
}

// sent notes a reply to an ask as it was expected.
func (t *tellings) sent(now model.Instant, ask proto.FreshAsk, reply proto.FreshReply) {
	if len(reply.Changes)+len(reply.Snapshot)+len(reply.Members)+len(reply.Owners)+len(reply.Targets)+len(reply.RemovedTargets)+len(reply.Peers) == 0 {
		return
	}
	t.forget(now)
	t.hosts[ask.Member.Host] = told{
		incarnation: ask.Member.Incarnation, nonce: ask.Nonce, at: now, have: max(ask.HeldVersion, reply.Newest),
		members: reply.MembersDigest, owners: reply.OwnersDigest, targets: reply.TargetsDigest, peers: reply.PeersDigest,
	}
}

func (t *tellings) forget(now model.Instant) {
	if now < t.forgetAt {
		return
	}
	t.forgetAt = now.Add(toldEvery)
	for host, last := range t.hosts {
		if now.Sub(last.at) > transitMost {
			delete(t.hosts, host)
		}
	}
}

// AssumeDelivered returns the ask of an entry host without what replies on their way
// to it carry already.
func (f *FreshnessClient) AssumeDelivered(now model.Instant, ask proto.FreshAsk) proto.FreshAsk {
	return f.tellings.expected(now, ask)
}

// RecordReply notes the reply to an ask that Expected returned.
func (f *FreshnessClient) RecordReply(now model.Instant, ask proto.FreshAsk, reply proto.FreshReply) {
	f.tellings.sent(now, ask, reply)
}
