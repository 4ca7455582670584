package order

import (
	"slices"
	"strconv"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// forming is the bootstrap of an empty journal. The journal votes once every
// other journal has replied that it is forming as well, or once a journal that
// was formed names this journal's disk: nothing was written to that disk since,
// so its empty records are true. If a complete journal does not name it, the
// disk was lost and the journal repairs.
type forming struct {
	since   model.Instant
	started bool
	asked   model.Instant
	// disk identifies this disk; it is synced, with number diskSeq, before a reply or query uses it.
	disk    uint64
	diskSeq uint64
	queries map[model.HostID]uint64
	// disks holds those of the journals that replied that they are forming.
	disks map[model.HostID]uint64
	// markSeq is the Persist that completes the journal, or 0 before it.
	markSeq uint64
}

func newForming(disk uint64) *forming {
	return &forming{disk: disk, queries: map[model.HostID]uint64{}, disks: map[model.HostID]uint64{}}
}

// Records without a workspace hold the state of the journal itself: one with
// the name of a host as its key holds the disk of that host, and one without a
// key marks the journal as complete.

func isState(rec proto.JournalRecord) bool { return rec.Workspace == "" }

func isMark(rec proto.JournalRecord) bool {
	return isState(rec) && rec.OrderKey == "" && rec.Holder == completeHolder
}

func diskRecord(host model.HostID, disk uint64) proto.JournalRecord {
	return proto.JournalRecord{OrderKey: string(host), Holder: model.RequestID(strconv.FormatUint(disk, 10))}
}

func diskOf(rec proto.JournalRecord) (model.HostID, uint64, bool) {
	disk, err := strconv.ParseUint(string(rec.Holder), 10, 64)
	return model.HostID(rec.OrderKey), disk, err == nil && isState(rec) && rec.OrderKey != ""
}

// tickForming queries the other journals. It is silent first, like a repair:
// a vote that was given before the loss of a disk counts for VoteTTL, and
// another journal may have been forming when it was asked during that time.
func (j *Journal) tickForming(now model.Instant) []Effect {
	f := j.forming
	if !f.started {
		f.started, f.since = true, now
	}
	var out []Effect
	if f.disk == 0 {
		f.disk = j.nextNonce()
		out = j.persist(diskRecord(j.self, f.disk))
		f.diskSeq = j.seq
	}
	if f.markSeq != 0 || j.synced < f.diskSeq || now.Sub(f.since) < j.timing.RecoveryDelay || (f.asked != 0 && now.Sub(f.asked) < j.timing.ResendInterval) {
		return out
	}
	f.asked = now
	for _, h := range j.others {
		f.queries[h] = j.nextNonce()
		out = append(out, Send{To: h, Msg: proto.JournalFormAsk{Nonce: f.queries[h], JournalsDigest: j.list}})
	}
	return out
}

func (j *Journal) receiveForming(from model.HostID, msg proto.Message) []Effect {
	switch m := msg.(type) {
	case proto.ReserveAsk:
		return j.unavailable(Received{From: from, Msg: m})
	case proto.JournalFormAsk:
		if j.forming.disk == 0 {
			return nil
		}
		return j.after(j.forming.diskSeq, j.formReply(from, m))
	case proto.JournalFormReply:
		return j.formReplied(from, m)
	default:
		return nil
	}
}

// formReply states what this journal is.
func (j *Journal) formReply(to model.HostID, m proto.JournalFormAsk) Send {
	reply := proto.JournalFormReply{Nonce: m.Nonce, State: proto.JournalComplete, FormedDisks: j.formed}
	switch {
	case j.repair != nil:
		reply.State, reply.FormedDisks = proto.JournalRepairing, nil
	case j.forming != nil:
		reply.State, reply.DiskID, reply.FormedDisks = proto.JournalForming, j.forming.disk, nil
	}
	return Send{To: to, Msg: reply}
}

func (j *Journal) formReplied(from model.HostID, m proto.JournalFormReply) []Effect {
	f := j.forming
	if f.markSeq != 0 || f.queries[from] == 0 || f.queries[from] != m.Nonce {
		return nil
	}
	switch m.State {
	case proto.JournalForming:
		if m.DiskID == 0 {
			return nil
		}
		f.disks[from] = m.DiskID
		if len(f.disks) < len(j.others) {
			return nil
		}
		formed := []proto.JournalDisk{{Host: j.self, DiskID: f.disk}}
		for _, h := range j.others {
			formed = append(formed, proto.JournalDisk{Host: h, DiskID: f.disks[h]})
		}
		return j.form(formed)
	case proto.JournalComplete:
		if slices.Contains(m.FormedDisks, proto.JournalDisk{Host: j.self, DiskID: f.disk}) {
			return j.form(m.FormedDisks)
		}
		j.forming = nil
		j.repair = newRepair()
		j.repair.started, j.repair.since = true, f.since
	default:
		// A repairing journal cannot tell whether this disk was lost. Whichever
		// complete journal it copies from can.
		delete(f.disks, from)
	}
	return nil
}

// form completes the journal with no records.
func (j *Journal) form(formed []proto.JournalDisk) []Effect {
	j.formed = formed
	var records []proto.JournalRecord
	for _, d := range formed {
		records = append(records, diskRecord(d.Host, d.DiskID))
	}
	out := j.persist(append(records, proto.JournalRecord{Holder: completeHolder})...)
	j.marked = true
	j.forming.markSeq = j.seq
	return out
}
