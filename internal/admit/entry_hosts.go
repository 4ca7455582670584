package admit

import (
	"maps"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// absentHostTimeout is how long a host that left the list of present hosts
	// counts as one that uses its local shares: it may be cut off from control
	// and still serve callers.
	absentHostTimeout = 10 * time.Minute
	// ownerDiscoveryTime is how long after a change of owner a present host may
	// still use its local shares: the change reaches the host through its relay,
	// which receives it first.
	ownerDiscoveryTime = 900 * time.Millisecond
)

// entryHosts tracks which entry hosts reach the owner and which may use their
// local shares instead. The owner withholds as much of the rate as the latter
// may use. Without that, the owner's rate and the shares would add up during a
// partition between some of the entry hosts and control.
type entryHosts struct {
	// present holds the hosts of the newest list, and startedTogether those of
	// them that started together with this process.
	present         map[model.HostID]struct{}
	startedTogether []model.HostID
	// absentSince holds, for each host that left the list, when it did. Entries
	// expire after absentHostTimeout.
	absentSince map[model.HostID]model.Instant
}

// update replaces the list of present hosts.
func (e *entryHosts) update(now model.Instant, hosts, startedTogether []model.HostID) {
	if e.absentSince == nil {
		e.absentSince = map[model.HostID]model.Instant{}
	}
	present := make(map[model.HostID]struct{}, len(hosts))
	for _, h := range hosts {
		present[h] = struct{}{}
		delete(e.absentSince, h)
	}
	for host := range e.present {
		if _, ok := present[host]; !ok {
			e.absentSince[host] = now
		}
	}
	e.present, e.startedTogether = present, startedTogether
	e.dropExpired(now)
}

// dropExpired forgets the hosts that have been absent for absentHostTimeout.
func (e *entryHosts) dropExpired(now model.Instant) {
	maps.DeleteFunc(e.absentSince, func(_ model.HostID, since model.Instant) bool { return now.Sub(since) >= absentHostTimeout })
}

// fraction returns count divided by the number of present and absent hosts, at
// most 1. It returns 1 if no host is known.
func (e *entryHosts) fraction(count int) float64 {
	all := len(e.present) + len(e.absentSince)
	if all == 0 {
		return 1
	}
	return min(1, float64(count)/float64(all))
}

// ownerDiscovery tracks, for ownerDiscoveryTime after a change of a shard's
// owner, which hosts have drawn from the new owner.
type ownerDiscovery struct {
	endsAt model.Instant
	// awareHosts holds the hosts that have drawn from this owner, or nil after endsAt.
	awareHosts map[model.HostID]struct{}
}

// countWithoutShares returns how many hosts use no local shares: those that
// have drawn from the owner, and those that started together with its process.
func (d *ownerDiscovery) countWithoutShares(startedTogether []model.HostID) int {
	n := len(d.awareHosts)
	for _, h := range startedTogether {
		if _, ok := d.awareHosts[h]; !ok {
			n++
		}
	}
	return n
}

// grantableFraction returns the fraction of the rate, from 0 to 1, that the
// owner of a shard may grant. The hosts that have not received the change
// of owner or are cut off from the owner may use the rest.
func (o *Owner) grantableFraction(now model.Instant, sh *ownedShard) float64 {
	switch {
	case !o.sharesEnabled:
		return 1
	case now < sh.discovery.endsAt:
		return o.entryHosts.fraction(sh.discovery.countWithoutShares(o.entryHosts.startedTogether))
	default:
		return o.entryHosts.fraction(len(o.entryHosts.present))
	}
}

// fillRate returns the tokens per second that are added to a bucket. The rate is
// lowered for the drift of this host's clock and for the shares of other hosts.
func (o *Owner) fillRate(now model.Instant, sh *ownedShard, b *bucket) float64 {
	return b.limits.Rate / (1 + o.maxClockDrift) * o.grantableFraction(now, sh)
}

// refill adds the tokens of a bucket that became due up to now, with separate
// rates for the time before and after the end of the shard's ownerDiscovery.
func (o *Owner) refill(now model.Instant, sh *ownedShard, b *bucket) {
	if discoveryEnd := sh.discovery.endsAt; o.sharesEnabled && b.filledUntil < discoveryEnd && discoveryEnd < now {
		b.refill(discoveryEnd, o.fillRate(discoveryEnd.Add(-1), sh, b))
	}
	b.refill(now, o.fillRate(now, sh, b))
}

// setEntryHosts replaces the list of present hosts. It first refills all
// buckets at the old rate, since the fraction of the rate changes with the list.
func (o *Owner) setEntryHosts(now model.Instant, ev EntryHostsChanged) {
	for i := range o.shards {
		o.refillAll(now, &o.shards[i])
	}
	o.entryHosts.update(now, ev.Hosts, ev.StartedTogether)
}

// recordAwareHost records that a host drew from the owner of a shard and so no
// longer uses its local shares. It refills the shard's buckets at the old rate first.
func (o *Owner) recordAwareHost(now model.Instant, sh *ownedShard, from model.HostID) {
	if !o.sharesEnabled || now >= sh.discovery.endsAt {
		sh.discovery.awareHosts = nil
		return
	}
	if _, ok := sh.discovery.awareHosts[from]; !ok {
		o.refillAll(now, sh)
		sh.discovery.awareHosts[from] = struct{}{}
	}
}

// refillAll refills all buckets of a shard.
func (o *Owner) refillAll(now model.Instant, sh *ownedShard) {
	for _, b := range sh.bucketList {
		o.refill(now, sh, b)
	}
}
