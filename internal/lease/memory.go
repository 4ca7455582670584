package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// PersistedState is what the host of a seat keeps on its disk, so that owners are back
// as soon as a fleet whose hosts all restarted has a leader of control.
//
// Without it a restarted seat grants nothing for Silence, and a host knows the
// list of seats to be in force only Fresh after the leader confirmed it.
type PersistedState struct {
	// Config is a configuration whose list of seats was in force everywhere, unless Settled is not set.
	Config       model.Config
	SeatsSettled bool
	// Grants holds the newest grant of each shard that this seat ever granted.
	// A shard that is missing was never granted.
	Grants []proto.Owner
}

// WithPersistedState gives a seat and a freshness client what their host kept on its
// disk. The seat then has each new grant kept before it answers.
func WithPersistedState(m PersistedState) Option {
	return func(s *settings) { s.memory = &m }
}

// keeper holds back the answers of a seat until its grants are on the disk.
type keeper struct {
	// number is that of the last Keep, kept that of the last one that was written.
	number uint64
	kept   uint64
}

// resume starts the freshness client from a settled configuration of the disk.
// The leader's changes since then are applied one by one, so that no change of
// the seats is missed. Nothing may be served before a confirmation.
func (f *FreshnessClient) resume() {
	if f.memory == nil || !f.memory.SeatsSettled {
		return
	}
	f.hist.replace(f.memory.Config)
	f.settled = true
	f.quorums = [][]model.HostID{f.hist.cfg.Seats}
	f.resumed = true
}

// publishResumed publishes the configuration that resume took, once.
func (f *FreshnessClient) publishResumed() []Effect {
	if !f.resumed {
		return nil
	}
	f.resumed = false
	return []Effect{ConfigChanged{Config: f.hist.cfg}, f.quorumsChanged()}
}

// restoreGrants takes the grants of the disk. Whether their leases have ended
// is not known, so until now plus Silence each shard is granted only to the
// host that held it: no other can hold a lease that counts this seat.
func (s *Seat) restoreGrants() {
	if s.memory == nil {
		return
	}
	for _, o := range s.memory.Grants {
		if o.Shard < model.Shards {
			s.grants.shards[o.Shard] = grant{host: o.Host, epoch: o.Epoch}
		}
	}
}

// mayGrant reports whether a claim may be granted while leases of the run
// before may still hold.
func (s *Seat) mayGrant(now model.Instant, from model.HostID, c proto.Claim) bool {
	if s.active && now >= s.wakeAt {
		return true
	}
	return s.memory != nil && s.grants.shards[c.Shard].host == from
}

// answersLeases reports whether the seat answers the asks of claimers.
func (s *Seat) answersLeases(now model.Instant) bool {
	return s.active && now >= s.wakeAt || s.memory != nil
}

// answer sends a reply to a claimer, after the new grants and all earlier ones were kept.
func (s *Seat) answer(to model.HostID, reply proto.LeaseReply, fresh []proto.Owner) []Effect {
	send := Send{To: to, Msg: reply}
	if s.memory == nil || len(fresh) == 0 && s.keeper.number == s.keeper.kept {
		return []Effect{send}
	}
	s.keeper.number++
	return []Effect{PersistGrants{Number: s.keeper.number, Grants: slices.Clone(fresh), Reply: send}}
}
