package part

import (
	"crypto/sha256"
	"hash"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Receiver fetches one snapshot at a time. It has one request outstanding,
// keeps to its snapshot while newer ones are offered, and starts over only if
// no sender has that snapshot any more. The zero value is ready to use.
type Receiver struct {
	sources []source
	// running is set during a transfer of snapshot.
	running  bool
	snapshot proto.SnapshotOffer
	rank     uint64
	// data is what was received so far, digest its running hash.
	data   []byte
	digest hash.Hash
	// asked is the host of the outstanding request, askedAt when it was sent,
	// and misses the number of requests since the last answer.
	asked   model.HostID
	askedAt model.Instant
	misses  int
	// heardAt is when the last usable part arrived, or when the transfer began.
	heardAt model.Instant
}

// holding says whether a source has the snapshot being received.
type holding int

const (
	// unsure sources offered another snapshot, and may retain this one.
	unsure holding = iota
	holds
	gone
)

// source is a host with the newest snapshot that it offered.
type source struct {
	host  model.HostID
	offer proto.SnapshotOffer
	rank  uint64
	has   holding
}

// Offer notes that a host has a snapshot and starts a transfer if none runs. A
// greater rank is a newer snapshot: its version or log index.
func (r *Receiver) Offer(now model.Instant, from model.HostID, o proto.SnapshotOffer, rank uint64) []Request {
	if o.Size == 0 || o.Size > MaxSnapshotSize {
		return nil
	}
	r.note(from, o, rank)
	if r.running {
		return nil
	}
	return r.start(now)
}

func (r *Receiver) note(from model.HostID, o proto.SnapshotOffer, rank uint64) {
	i := slices.IndexFunc(r.sources, func(s source) bool { return s.host == from })
	if i < 0 {
		if len(r.sources) >= maxSources {
			return
		}
		r.sources = append(r.sources, source{host: from})
		i = len(r.sources) - 1
	}
	s := &r.sources[i]
	s.offer, s.rank = o, rank
	if r.running && o.ID == r.snapshot.ID {
		s.has = holds
	}
}

// start begins with the newest snapshot on offer.
func (r *Receiver) start(now model.Instant) []Request {
	r.running, r.data, r.digest = false, nil, nil
	if len(r.sources) == 0 {
		return nil
	}
	newest := slices.MaxFunc(r.sources, func(a, b source) int { return compare(a.rank, b.rank) })
	r.running, r.snapshot, r.rank = true, newest.offer, newest.rank
	r.digest = sha256.New()
	for i := range r.sources {
		r.sources[i].has = unsure
		if r.sources[i].offer.ID == r.snapshot.ID {
			r.sources[i].has = holds
		}
	}
	r.heardAt, r.misses = now, 0
	return r.ask(now, newest.host)
}

func compare(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (r *Receiver) ask(now model.Instant, to model.HostID) []Request {
	r.asked, r.askedAt = to, now
	return []Request{{To: to, Msg: proto.PartAsk{Snapshot: r.snapshot.ID, Offset: uint64(len(r.data))}}}
}

// Part takes a part. It returns the next request, or the whole snapshot once
// it is complete and its digest is right. The snapshot is never empty.
func (r *Receiver) Part(now model.Instant, from model.HostID, m proto.Part) ([]Request, []byte) {
	if !r.running || m.Snapshot != r.snapshot.ID {
		return nil, nil
	}
	if m.NotHeld {
		return r.lost(now, from), nil
	}
	if !r.fits(m) {
		return nil, nil
	}
	if r.data == nil {
		r.data = make([]byte, 0, r.snapshot.Size)
	}
	r.data = append(r.data, m.Data...)
	r.digest.Write(m.Data)
	r.heardAt, r.misses = now, 0
	if uint64(len(r.data)) < r.snapshot.Size {
		return r.ask(now, from), nil
	}
	data := r.data
	intact := proto.SnapshotID(r.digest.Sum(nil)) == r.snapshot.ID
	r.Stop()
	if !intact {
		// The next offer starts again.
		return nil, nil
	}
	return nil, data
}

// fits reports whether a part is the next one.
func (r *Receiver) fits(m proto.Part) bool {
	at, length := uint64(len(r.data)), uint64(len(m.Data))
	return m.Offset == at && length > 0 && length <= r.snapshot.Size-at
}

// lost notes that a source does not have the snapshot, and continues with another one.
func (r *Receiver) lost(now model.Instant, from model.HostID) []Request {
	i := slices.IndexFunc(r.sources, func(s source) bool { return s.host == from })
	if i >= 0 && r.sources[i].offer.ID == r.snapshot.ID {
		r.sources = slices.Delete(r.sources, i, i+1)
	} else if i >= 0 {
		r.sources[i].has = gone
	}
	if from != r.asked {
		return nil
	}
	return r.next(now)
}

// next asks the source after the one asked last: first those that offered the
// snapshot, then those that may retain it. Without any it starts over.
func (r *Receiver) next(now model.Instant) []Request {
	for _, has := range []holding{holds, unsure} {
		var hosts []model.HostID
		for _, s := range r.sources {
			if s.has == has {
				hosts = append(hosts, s.host)
			}
		}
		// After a turn through the hosts that offered the snapshot, the others are asked too.
		if len(hosts) > 0 && (has == unsure || r.misses <= len(hosts) || !r.unsure()) {
			return r.ask(now, hosts[(slices.Index(hosts, r.asked)+1)%len(hosts)])
		}
	}
	return r.start(now)
}

func (r *Receiver) unsure() bool {
	return slices.ContainsFunc(r.sources, func(s source) bool { return s.has == unsure })
}

// Tick repeats a request that was not answered in time.
func (r *Receiver) Tick(now model.Instant) []Request {
	if !r.running || now.Sub(r.askedAt) < r.interval() {
		return nil
	}
	silent := now.Sub(r.heardAt)
	if silent >= RetainFor || silent >= startOverAfter && r.otherOffer() {
		r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return s.offer.ID == r.snapshot.ID })
		return r.start(now)
	}
	r.misses++
	return r.next(now)
}

func (r *Receiver) interval() time.Duration {
	return repeatEvery << min(r.misses, maxDoublings)
}

func (r *Receiver) otherOffer() bool {
	return slices.ContainsFunc(r.sources, func(s source) bool { return s.offer.ID != r.snapshot.ID })
}

// Stop ends the transfer and forgets all offers.
func (r *Receiver) Stop() { *r = Receiver{} }

// RunningRank returns the rank of the snapshot being received, or false if there is none.
func (r *Receiver) RunningRank() (uint64, bool) { return r.rank, r.running }
