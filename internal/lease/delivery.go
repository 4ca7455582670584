package lease

import (
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// maxTransit is how long a reply counts as in flight. A host that receives a
	// later reply gets what it still lacks at once.
	maxTransit = 2 * time.Second
	// purgeInterval is the interval at which a relay drops deliveries older than
	// maxTransit.
	purgeInterval = 30 * time.Second
)

// delivery holds the version and the digests that a host will have once the replies in
// flight to it have arrived.
type delivery struct {
	incarnation model.Incarnation
	// nonce is the nonce of the newest reply that carried a configuration or a list,
	// sentAt when it was sent.
	nonce   uint64
	sentAt  model.Instant
	version model.Version

	membersDigest, ownersDigest, targetsDigest, peersDigest uint64
}

// deliveries holds, by host, what a relay has sent. A starting host asks several times
// before the configuration and the lists reach it over a slow link. The relay sends
// each of them once, as long as it may still arrive.
type deliveries struct {
	hosts   map[model.HostID]delivery
	purgeAt model.Instant
}

// assumeDelivered returns an ask as the host would send it once the replies in flight
// have arrived. The ask is returned unchanged if the host has received the newest of
// them, has restarted, or if they are older than maxTransit.
func (t *deliveries) assumeDelivered(now model.Instant, ask proto.FreshAsk) proto.FreshAsk {
	last, ok := t.hosts[ask.Member.Host]
	if !ok || last.incarnation != ask.Member.Incarnation || ask.LastReplyNonce >= last.nonce || now.Sub(last.sentAt) > maxTransit {
		return ask
	}
	ask.HeldVersion = max(ask.HeldVersion, last.version)
	ask.MembersDigest, ask.OwnersDigest = last.membersDigest, last.ownersDigest
	ask.TargetsDigest, ask.PeersDigest = last.targetsDigest, last.peersDigest
	return ask
}

// record stores the reply to an ask that assumeDelivered returned, unless the reply
// carries neither a configuration nor a list.
func (t *deliveries) record(now model.Instant, ask proto.FreshAsk, reply proto.FreshReply) {
	if len(reply.Changes)+len(reply.Snapshot)+len(reply.Members)+len(reply.Owners)+len(reply.Targets)+len(reply.RemovedTargets)+len(reply.Peers) == 0 {
		return
	}
	t.purge(now)
	t.hosts[ask.Member.Host] = delivery{
		incarnation: ask.Member.Incarnation, nonce: ask.Nonce, sentAt: now, version: max(ask.HeldVersion, reply.Newest),
		membersDigest: reply.MembersDigest, ownersDigest: reply.OwnersDigest, targetsDigest: reply.TargetsDigest, peersDigest: reply.PeersDigest,
	}
}

// purge drops the deliveries that are older than maxTransit.
func (t *deliveries) purge(now model.Instant) {
	if now < t.purgeAt {
		return
	}
	t.purgeAt = now.Add(purgeInterval)
	for host, last := range t.hosts {
		if now.Sub(last.sentAt) > maxTransit {
			delete(t.hosts, host)
		}
	}
}

// AssumeDelivered returns the ask of an entry host as if the replies in flight to the
// host had arrived, so that a relay does not send their content again.
func (f *FreshnessClient) AssumeDelivered(now model.Instant, ask proto.FreshAsk) proto.FreshAsk {
	return f.deliveries.assumeDelivered(now, ask)
}

// RecordReply records the reply to an ask that AssumeDelivered returned.
func (f *FreshnessClient) RecordReply(now model.Instant, ask proto.FreshAsk, reply proto.FreshReply) {
	f.deliveries.record(now, ask, reply)
}
