package part

import (
	"crypto/sha256"
	"hash"
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Receiver fetches one snapshot at a time, with one request outstanding. While
// newer snapshots are offered it continues with the current one, and starts
// over only if no sender has that snapshot any more. The zero value is ready to
// use.
type Receiver struct {
	sources []source
	// transferring is set during a transfer. The snapshot being received and its
	// rank are valid only then.
	transferring bool
	snapshot     proto.SnapshotOffer
	rank         uint64
	// data holds the bytes received so far, and digest their running hash.
	data   []byte
	digest hash.Hash
	// requestedFrom is the host of the outstanding request, requestedAt the time
	// when the request was sent, and unansweredRequests the number of requests
	// that timed out since the last usable part.
	requestedFrom      model.HostID
	requestedAt        model.Instant
	unansweredRequests int
	// lastProgressAt is the time when the last usable part arrived, or when the transfer began.
	lastProgressAt model.Instant
}

// snapshotState is whether a source holds the snapshot being received.
type snapshotState int

const (
	// snapshotUnknown means the source offered another snapshot, and may still
	// hold this one.
	snapshotUnknown snapshotState = iota
	// snapshotHeld means the source offered the snapshot.
	snapshotHeld
	// snapshotGone means the source replied that it does not hold the snapshot.
	snapshotGone
)

// source is a host that offered snapshots, with its newest offer. The state refers
// to the snapshot being received, which may be an older one.
type source struct {
	host  model.HostID
	offer proto.SnapshotOffer
	rank  uint64
	state snapshotState
}

// Offer records that a host has a snapshot and starts a transfer if none runs.
// The rank orders snapshots by age, newer ones higher: it is the version of a
// configuration or the log index of a state.
func (r *Receiver) Offer(now model.Instant, from model.HostID, o proto.SnapshotOffer, rank uint64) []Request {
	if o.Size == 0 || o.Size > MaxSnapshotSize {
		return nil
	}
	r.recordOffer(from, o, rank)
	if r.transferring {
		return nil
	}
	return r.startTransfer(now)
}

// recordOffer stores the newest offer of a host. Offers of further hosts are
// ignored once maxSources is reached.
func (r *Receiver) recordOffer(from model.HostID, o proto.SnapshotOffer, rank uint64) {
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
	if r.transferring && o.ID == r.snapshot.ID {
		s.state = snapshotHeld
	}
}

// startTransfer discards the current transfer, if any, and begins one of the
// newest snapshot on offer.
func (r *Receiver) startTransfer(now model.Instant) []Request {
	r.transferring, r.data, r.digest = false, nil, nil
	if len(r.sources) == 0 {
		return nil
	}
	newest := slices.MaxFunc(r.sources, func(a, b source) int { return compareRanks(a.rank, b.rank) })
	r.transferring, r.snapshot, r.rank = true, newest.offer, newest.rank
	r.digest = sha256.New()
	for i := range r.sources {
		r.sources[i].state = snapshotUnknown
		if r.sources[i].offer.ID == r.snapshot.ID {
			r.sources[i].state = snapshotHeld
		}
	}
	r.lastProgressAt, r.unansweredRequests = now, 0
	return r.request(now, newest.host)
}

// compareRanks returns -1 if rank a is lower than rank b, 1 if it is higher and 0 if
// they are equal.
func compareRanks(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

// request returns the request for the next part, and notes its receiver and time.
func (r *Receiver) request(now model.Instant, to model.HostID) []Request {
	r.requestedFrom, r.requestedAt = to, now
	return []Request{{To: to, Msg: proto.PartAsk{Snapshot: r.snapshot.ID, Offset: uint64(len(r.data))}}}
}

// Part handles a part that arrived. It returns the next request, or the whole
// snapshot once all parts have arrived and the digest matches. A returned
// snapshot is never empty. If the digest differs, the data is discarded.
func (r *Receiver) Part(now model.Instant, from model.HostID, m proto.Part) ([]Request, []byte) {
	if !r.transferring || m.Snapshot != r.snapshot.ID {
		return nil, nil
	}
	if m.NotHeld {
		return r.handleNotHeld(now, from), nil
	}
	if !r.isNextPart(m) {
		return nil, nil
	}
	if r.data == nil {
		r.data = make([]byte, 0, r.snapshot.Size)
	}
	r.data = append(r.data, m.Data...)
	r.digest.Write(m.Data)
	r.lastProgressAt, r.unansweredRequests = now, 0
	if uint64(len(r.data)) < r.snapshot.Size {
		return r.request(now, from), nil
	}
	data := r.data
	intact := proto.SnapshotID(r.digest.Sum(nil)) == r.snapshot.ID
	r.Stop()
	if !intact {
		// Stop has dropped all offers, so the next one starts a new transfer.
		return nil, nil
	}
	return nil, data
}

// isNextPart reports whether a part begins where the received data ends and
// does not exceed the length of the snapshot.
func (r *Receiver) isNextPart(m proto.Part) bool {
	at, length := uint64(len(r.data)), uint64(len(m.Data))
	return m.Offset == at && length > 0 && length <= r.snapshot.Size-at
}

// handleNotHeld records that a source does not have the snapshot. If the
// outstanding request was sent to this source, another source is asked.
func (r *Receiver) handleNotHeld(now model.Instant, from model.HostID) []Request {
	i := slices.IndexFunc(r.sources, func(s source) bool { return s.host == from })
	if i >= 0 && r.sources[i].offer.ID == r.snapshot.ID {
		r.sources = slices.Delete(r.sources, i, i+1)
	} else if i >= 0 {
		r.sources[i].state = snapshotGone
	}
	if from != r.requestedFrom {
		return nil
	}
	return r.requestFromNextSource(now)
}

// requestFromNextSource sends the request to the source after the one asked
// last: first to those that offered the snapshot, then to those that may still
// hold it. If there is neither, it starts over with another snapshot.
func (r *Receiver) requestFromNextSource(now model.Instant) []Request {
	for _, state := range []snapshotState{snapshotHeld, snapshotUnknown} {
		var hosts []model.HostID
		for _, s := range r.sources {
			if s.state == state {
				hosts = append(hosts, s.host)
			}
		}
		// Once each host that offered the snapshot was asked in vain, the hosts that may hold it are asked too.
		if len(hosts) > 0 && (state == snapshotUnknown || r.unansweredRequests <= len(hosts) || !r.hasUnknownSource()) {
			return r.request(now, hosts[(slices.Index(hosts, r.requestedFrom)+1)%len(hosts)])
		}
	}
	return r.startTransfer(now)
}

// hasUnknownSource reports whether some source may hold the snapshot although its last offer was another one.
func (r *Receiver) hasUnknownSource() bool {
	return slices.ContainsFunc(r.sources, func(s source) bool { return s.state == snapshotUnknown })
}

// Tick repeats a request that was not answered in time. A transfer without
// progress is given up after RetainFor, or after restartTimeout if another
// snapshot is on offer.
func (r *Receiver) Tick(now model.Instant) []Request {
	if !r.transferring || now.Sub(r.requestedAt) < r.retryInterval() {
		return nil
	}
	sinceProgress := now.Sub(r.lastProgressAt)
	if sinceProgress >= RetainFor || sinceProgress >= restartTimeout && r.hasOtherOffer() {
		r.sources = slices.DeleteFunc(r.sources, func(s source) bool { return s.offer.ID == r.snapshot.ID })
		return r.startTransfer(now)
	}
	r.unansweredRequests++
	return r.requestFromNextSource(now)
}

// retryInterval returns how long to wait for the answer to the outstanding request.
func (r *Receiver) retryInterval() time.Duration {
	return minRetryInterval << min(r.unansweredRequests, maxDoublings)
}

// hasOtherOffer reports whether a source offers a snapshot other than the one being received.
func (r *Receiver) hasOtherOffer() bool {
	return slices.ContainsFunc(r.sources, func(s source) bool { return s.offer.ID != r.snapshot.ID })
}

// Stop ends the transfer and drops all offers.
func (r *Receiver) Stop() { *r = Receiver{} }

// RunningRank returns the rank of the snapshot being received, or false if there is none.
func (r *Receiver) RunningRank() (uint64, bool) { return r.rank, r.transferring }
