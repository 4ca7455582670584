package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// PersistedState holds what a host with a seat keeps on its disk. After a restart of
// the whole fleet, shards get their owners back as soon as control has a leader.
//
// Without it, a restarted seat grants nothing during SilencePeriod, and a host
// takes the list of seats to be in force only FreshnessDuration after the leader
// confirmed it.
type PersistedState struct {
	// Config is a configuration whose list of seats was in force on all hosts. It is
	// valid only if SeatsSettled is set.
	Config       model.Config
	SeatsSettled bool
	// Grants holds the newest grant of each shard that this seat ever granted. A
	// missing shard was never granted.
	Grants []proto.Owner
}

// WithPersistedState gives a Seat and a FreshnessClient the state that their host read
// from its disk. The seat then answers a claim only once its new grants are on the
// disk.
func WithPersistedState(m PersistedState) Option {
	return func(s *settings) { s.persisted = &m }
}

// grantWrites numbers the PersistGrants of a seat, to delay answers until the grants
// are on the disk.
type grantWrites struct {
	// lastIssued is the number of the last PersistGrants, lastCompleted that of the
	// last one that was written.
	lastIssued    uint64
	lastCompleted uint64
}

// restoreConfig starts from the configuration on the disk if its seats had settled.
// The leader's changes since then are applied one by one, so that no change of the
// seats is missed. Keyed requests still wait for a confirmation.
func (f *FreshnessClient) restoreConfig() {
	if f.persisted == nil || !f.persisted.SeatsSettled {
		return
	}
	f.hist.replace(f.persisted.Config)
	f.seatsSettled = true
	f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	f.restorePending = true
}

// publishRestored publishes the configuration of restoreConfig once.
func (f *FreshnessClient) publishRestored() []Effect {
	if !f.restorePending {
		return nil
	}
	f.restorePending = false
	return []Effect{ConfigChanged{Config: f.hist.cfg}, f.quorumsChanged()}
}

// restoreGrants takes the grants on the disk. Whether their leases have ended is
// unknown, so until the end of SilencePeriod each shard is granted only to the host
// of its last grant: no other host can have a lease that counts this seat.
func (s *Seat) restoreGrants() {
	if s.persisted == nil {
		return
	}
	for _, o := range s.persisted.Grants {
		if o.Shard < model.Shards {
			s.grants.shards[o.Shard] = grant{host: o.Host, epoch: o.Epoch}
		}
	}
}

// mayGrant reports whether this seat may grant a claim. While the seat is not
// active, or while leases granted before a restart may not have ended, it may only
// grant a shard to the host that holds the shard according to the grants on the
// disk.
func (s *Seat) mayGrant(now model.Instant, from model.HostID, c proto.Claim) bool {
	if s.active && now >= s.silenceUntil {
		return true
	}
	return s.persisted != nil && s.grants.shards[c.Shard].host == from
}

// answersLeases reports whether the seat answers LeaseAsk.
func (s *Seat) answersLeases(now model.Instant) bool {
	return s.active && now >= s.silenceUntil || s.persisted != nil
}

// replyAfterWrite sends a reply to a claimer once the new grants and all earlier ones
// are on the disk. Without a disk it sends the reply at once.
func (s *Seat) replyAfterWrite(to model.HostID, reply proto.LeaseReply, fresh []proto.Owner) []Effect {
	send := Send{To: to, Msg: reply}
	if s.persisted == nil || len(fresh) == 0 && s.writes.lastIssued == s.writes.lastCompleted {
		return []Effect{send}
	}
	s.writes.lastIssued++
	return []Effect{PersistGrants{Number: s.writes.lastIssued, Grants: slices.Clone(fresh), Reply: send}}
}
