package order_test

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"tarragongauge.example/tarragongauge/internal/order"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// disk holds the synced records of a journal. The offset of a record in its position is
// its index in records.
type disk struct {
	records   []proto.JournalRecord
	positions []order.Position
	// state holds the records without a workspace, by order key.
	state map[string]proto.JournalRecord
	// firstKept is the index of the oldest record that was not deleted.
	firstKept int
}

// formedDisk returns the disk of a complete journal without reservations.
func formedDisk() *disk {
	d := &disk{state: map[string]proto.JournalRecord{}}
	d.write(0, []proto.JournalRecord{{Holder: "complete"}})
	return d
}

func emptyDisk() *disk { return &disk{state: map[string]proto.JournalRecord{}} }

func (d *disk) write(segment uint32, records []proto.JournalRecord) (at []order.Position) {
	for _, rec := range records {
		if rec.Workspace == "" {
			d.state[rec.OrderKey] = rec
			continue
		}
		p := order.Position{Segment: segment, Offset: uint64(len(d.records)), Size: 1}
		d.records, d.positions, at = append(d.records, rec), append(d.positions, p), append(at, p)
	}
	return at
}

func (d *disk) read(p order.Position) proto.JournalRecord {
	if int(p.Offset) < d.firstKept {
		panic(fmt.Sprintf("read of a deleted record at %v", p))
	}
	return d.records[p.Offset]
}

// page returns the page that f asks for, with at least one record if any is left. Each
// record counts as 150 bytes.
func (d *disk) page(f order.ReadPage) order.ReadPageDone {
	i, _ := strconv.Atoi(f.After)
	i = max(i, d.firstKept)
	out := order.ReadPageDone{ID: f.ID}
	for size := 0; i < len(d.records) && (size == 0 || size+150 <= f.Bytes); i++ {
		size += 150
		out.Records = append(out.Records, d.records[i])
	}
	out.Next, out.Done = strconv.Itoa(i), i == len(d.records)
	return out
}

func (d *disk) drop(segment uint32) {
	for d.firstKept < len(d.positions) && d.positions[d.firstKept].Segment <= segment {
		d.firstKept++
	}
}

// recovered returns the state that a journal gets when its process starts.
func (d *disk) recovered() order.RecoveredState {
	rec := order.RecoveredState{Index: order.NewIndex()}
	for i := d.firstKept; i < len(d.records); i++ {
		r := d.records[i]
		rec.Index.Add(order.DigestOf(r.Workspace, r.OrderKey), d.positions[i], r.UnixMilli, order.StateOf(r))
	}
	for _, key := range slices.Sorted(maps.Keys(d.state)) {
		rec.StateRecords = append(rec.StateRecords, d.state[key])
	}
	return rec
}

// newestByKey returns the newest copy of each record, by order key.
func (d *disk) newestByKey() map[string]proto.JournalRecord {
	out := map[string]proto.JournalRecord{}
	for _, r := range d.records[d.firstKept:] {
		out[r.OrderKey] = r
	}
	return out
}

// performDiskEffect carries out a disk effect at once and returns the effects that follow.
func performDiskEffect(now model.Instant, j order.Core, d *disk, eff order.Effect) []order.Effect {
	switch eff := eff.(type) {
	case order.Persist:
		return j.Step(now, order.Persisted{Seq: eff.Seq, Positions: d.write(uint32(now/hour), eff.Records)})
	case order.Read:
		return j.Step(now, order.ReadDone{ID: eff.ID, Record: d.read(eff.At)})
	case order.ReadPage:
		return j.Step(now, d.page(eff))
	case order.DropSegments:
		d.drop(eff.Segment)
	}
	return nil
}

// hour is the period that one segment covers.
const hour = model.Instant(3600e9)
