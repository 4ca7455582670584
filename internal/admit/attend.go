package admit

import (
	"maps"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// absentMemory is how long a host that is no longer heard counts as one that
	// uses its own shares. It may be cut off from control and serve callers.
	absentMemory = 10 * time.Minute
	// learnTime is how long after a change of owner a host that is heard may
	// still use its shares: it learns of the owner from its relay, which learns
	// of it first.
	learnTime = 900 * time.Millisecond
)

// attendance is the list of the entry hosts that may use a bucket. Those that
// were heard lately and are not any more have their shares; the owner withholds
// as much of the rate as these hosts may use.
//
// It answers the load of a partition between some of the entry hosts and
// control, in which the owner's rate and the shares would add up.
type attendance struct {
	// heard are the hosts of the newest list, and fresh those of them that started
	// together with this process.
	heard map[model.HostID]struct{}
	fresh []model.HostID
	// absent holds since when a host is not heard.
	absent map[model.HostID]model.Instant
}

// note takes a new list.
func (a *attendance) note(now model.Instant, hosts, fresh []model.HostID) {
	if a.absent == nil {
		a.absent = map[model.HostID]model.Instant{}
	}
	heard := make(map[model.HostID]struct{}, len(hosts))
	for _, h := range hosts {
		heard[h] = struct{}{}
		delete(a.absent, h)
	}
	for h := range a.heard {
		if _, ok := heard[h]; !ok {
			a.absent[h] = now
		}
	}
	a.heard, a.fresh = heard, fresh
	a.forget(now)
}

func (a *attendance) forget(now model.Instant) {
	maps.DeleteFunc(a.absent, func(_ model.HostID, since model.Instant) bool { return now.Sub(since) >= absentMemory })
}

// share returns the part of all hosts that present hosts are, from 0 to 1.
func (a *attendance) share(present int) float64 {
	all := len(a.heard) + len(a.absent)
	if all == 0 {
		return 1
	}
	return min(1, float64(present)/float64(all))
}

// learning follows which hosts know the owner of a shard soon after a change.
type learning struct {
	until model.Instant
	// heard are the hosts that have drawn from this owner.
	heard map[model.HostID]struct{}
}

// known returns how many hosts use no shares: those that have drawn, and those
// of the fresh ones that have not.
func (l *learning) known(fresh []model.HostID) int {
	n := len(l.heard)
	for _, h := range fresh {
		if _, ok := l.heard[h]; !ok {
			n++
		}
	}
	return n
}

// part returns the part of the rate that the owner of a shard may grant. The
// hosts that do not know it or are cut off from it use the rest.
func (o *Owner) part(now model.Instant, sh *ownedShard) float64 {
	switch {
	case !o.shares:
		return 1
	case now < sh.learning.until:
		return o.hosts.share(sh.learning.known(o.hosts.fresh))
	default:
		return o.hosts.share(len(o.hosts.heard))
	}
}

// fillRate returns the tokens per second that a bucket gets.
func (o *Owner) fillRate(now model.Instant, sh *ownedShard, b *bucket) float64 {
	return b.limits.Rate / (1 + o.drift) * o.part(now, sh)
}

// refill fills a bucket up to now, at the part of the rate of each time.
func (o *Owner) refill(now model.Instant, sh *ownedShard, b *bucket) {
	if learned := sh.learning.until; o.shares && b.at < learned && learned < now {
		b.refill(learned, o.fillRate(learned.Add(-1), sh, b))
	}
	b.refill(now, o.fillRate(now, sh, b))
}

// attend takes a new list of hosts. Buckets are filled first, since the part of
// the rate changes.
func (o *Owner) attend(now model.Instant, ev EntryHostsChanged) {
	for i := range o.shards {
		o.refillAll(now, &o.shards[i])
	}
	o.hosts.note(now, ev.Hosts, ev.StartedTogether)
}

// hear notes that a host draws from the owner, and so uses its share no more.
func (o *Owner) hear(now model.Instant, sh *ownedShard, from model.HostID) {
	if !o.shares || now >= sh.learning.until {
		sh.learning.heard = nil
		return
	}
	if _, ok := sh.learning.heard[from]; !ok {
		o.refillAll(now, sh)
		sh.learning.heard[from] = struct{}{}
	}
}

func (o *Owner) refillAll(now model.Instant, sh *ownedShard) {
	for _, b := range sh.order {
		o.refill(now, sh, b)
	}
}
