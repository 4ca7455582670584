package order

import (
	"slices"
	"strconv"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// forming is the state of an empty journal that does not vote yet. The journal
// becomes complete once all other journals have replied that they are forming too,
// or once a formed journal lists this journal's disk: nothing was written to that
// disk since the journals were formed, so it is right that it has no records. If a
// complete journal does not list the disk, the earlier disk was lost and the
// journal starts a repair.
type forming struct {
	// startedAt is the time of the first tick, if hasStarted.
	startedAt   model.Instant
	hasStarted  bool
	lastAskedAt model.Instant
	// diskID identifies this disk, or is 0 before one is chosen. The Persist effect
	// diskSeq must be synced before a reply or query uses the ID.
	diskID  uint64
	diskSeq uint64
	// nonces holds the nonce of the last query to each journal.
	nonces map[model.HostID]uint64
	// peerDisks holds the disk IDs of the journals that replied that they are forming.
	peerDisks map[model.HostID]uint64
	// completionSeq is the number of the Persist effect with the completion record,
	// or 0 before that effect.
	completionSeq uint64
}

func newForming(diskID uint64) *forming {
	return &forming{diskID: diskID, nonces: map[model.HostID]uint64{}, peerDisks: map[model.HostID]uint64{}}
}

// isStateRecord reports whether a record describes the journal itself rather than a
// reservation. Such a record has no workspace. With the name of a host as its order
// key it holds the disk ID of that host; without an order key it is the completion
// record.
func isStateRecord(rec proto.JournalRecord) bool { return rec.Workspace == "" }

// isCompletionRecord reports whether a record says that the journal is complete.
func isCompletionRecord(rec proto.JournalRecord) bool {
	return isStateRecord(rec) && rec.OrderKey == "" && rec.Holder == completionHolder
}

// diskRecord returns the state record that holds the disk ID of a host.
func diskRecord(host model.HostID, diskID uint64) proto.JournalRecord {
	return proto.JournalRecord{OrderKey: string(host), Holder: model.RequestID(strconv.FormatUint(diskID, 10))}
}

// parseDiskRecord returns the host and disk ID of a record made by diskRecord, and
// false for other records.
func parseDiskRecord(rec proto.JournalRecord) (model.HostID, uint64, bool) {
	diskID, err := strconv.ParseUint(string(rec.Holder), 10, 64)
	return model.HostID(rec.OrderKey), diskID, err == nil && isStateRecord(rec) && rec.OrderKey != ""
}

// tickForming queries the other journals once RecoveryDelay has passed, like a
// repair. Until then a vote from a lost disk may still count, and a reply that
// another journal is forming may be out of date by the end of the delay.
func (j *Journal) tickForming(now model.Instant) []Effect {
	f := j.forming
	if !f.hasStarted {
		f.hasStarted, f.startedAt = true, now
	}
	var out []Effect
	if f.diskID == 0 {
		f.diskID = j.nextNonce()
		out = j.persist(diskRecord(j.self, f.diskID))
		f.diskSeq = j.seq
	}
	if f.completionSeq != 0 || j.synced < f.diskSeq || now.Sub(f.startedAt) < j.timing.RecoveryDelay || (f.lastAskedAt != 0 && now.Sub(f.lastAskedAt) < j.timing.ResendInterval) {
		return out
	}
	f.lastAskedAt = now
	for _, h := range j.others {
		f.nonces[h] = j.nextNonce()
		out = append(out, Send{To: h, Msg: proto.JournalFormAsk{Nonce: f.nonces[h], JournalsDigest: j.listDigest}})
	}
	return out
}

func (j *Journal) receiveWhileForming(from model.HostID, msg proto.Message) []Effect {
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return j.replyUnavailable(Received{From: from, Msg: m})
	case proto.JournalFormAsk:
		if j.forming.diskID == 0 {
			return nil
		}
		return j.sendAfterSync(j.forming.diskSeq, j.formReply(from, m))
	case proto.JournalFormReply:
		return j.handleFormReply(from, m)
	default:
		return nil
	}
}

// formReply returns a reply with the state of this journal. A forming journal adds
// its disk ID, a formed one the disks with which the journals were formed.
func (j *Journal) formReply(to model.HostID, m proto.JournalFormAsk) Send {
	reply := proto.JournalFormReply{Nonce: m.Nonce, State: proto.JournalComplete, FormedDisks: j.formedDisks}
	switch {
	case j.repair != nil:
		reply.State, reply.FormedDisks = proto.JournalRepairing, nil
	case j.forming != nil:
		reply.State, reply.DiskID, reply.FormedDisks = proto.JournalForming, j.forming.diskID, nil
	}
	return Send{To: to, Msg: reply}
}

func (j *Journal) handleFormReply(from model.HostID, m proto.JournalFormReply) []Effect {
	f := j.forming
	if f.completionSeq != 0 || f.nonces[from] == 0 || f.nonces[from] != m.Nonce {
		return nil
	}
	switch m.State {
	case proto.JournalForming:
		if m.DiskID == 0 {
			return nil
		}
		f.peerDisks[from] = m.DiskID
		if len(f.peerDisks) < len(j.others) {
			return nil
		}
		formed := []proto.JournalDisk{{Host: j.self, DiskID: f.diskID}}
		for _, h := range j.others {
			formed = append(formed, proto.JournalDisk{Host: h, DiskID: f.peerDisks[h]})
		}
		return j.completeForming(formed)
	case proto.JournalComplete:
		if slices.Contains(m.FormedDisks, proto.JournalDisk{Host: j.self, DiskID: f.diskID}) {
			return j.completeForming(m.FormedDisks)
		}
		j.forming = nil
		j.repair = newRepair()
		j.repair.hasStarted, j.repair.startedAt = true, f.startedAt
	default:
		// A repairing journal cannot tell whether this disk was lost. The complete
		// journals that it copies from can.
		delete(f.peerDisks, from)
	}
	return nil
}

// completeForming writes the disks of all journals and the completion record. The
// journal is then complete without any reservations.
func (j *Journal) completeForming(formed []proto.JournalDisk) []Effect {
	j.formedDisks = formed
	var records []proto.JournalRecord
	for _, d := range formed {
		records = append(records, diskRecord(d.Host, d.DiskID))
	}
	out := j.persist(append(records, proto.JournalRecord{Holder: completionHolder})...)
	j.completionWritten = true
	j.forming.completionSeq = j.seq
	return out
}
