package node

import (
	"path/filepath"
	"time"

	"github.com/go-logr/logr"
	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/lease"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/internal/store"
	"tarragongauge.example/tarragongauge/pkg/model"
)

const (
	// seatFolder is the folder of what the seat remembers below the data folder.
	seatFolder = "seat"
	// seatRecords is the number of records after which the seat's file is rewritten;
	// a record of all shards has about 5 KB.
	seatRecords = 256
	// settledEvery is the least interval between two writes of the configuration.
	settledEvery = time.Second
	// settledBytes is the size above which a configuration is not kept; the host
	// then waits until the list of seats is known to be in force.
	settledBytes = 256 << 10
)

// seatMemory keeps on the disk what a seat needs after a restart. Its file is
// written by the persister only.
type seatMemory struct {
	log  logr.Logger
	file *diskFile
	disk *persister[seatSave]
	// grants, config and records are used by the persister only. They include what
	// a failed write held.
	grants  [model.Shards]proto.Owner
	config  []byte
	records int

	// latest, settled, savedVersion and saveAt are used under the lock of the freshness client only.
	latest       model.Config
	settled      bool
	savedVersion model.Version
	saveAt       model.Instant
}

// seatSave is a Keep of the seat or, without a number, a configuration.
type seatSave struct {
	keep   lease.PersistGrants
	config []byte
}

// openSeatMemory opens the memory of a seat. The first function is the clean-up.
func openSeatMemory(dataDir string, log logr.Logger, opts ...store.Option) (*seatMemory, lease.PersistedState, func() error, error) {
	file, contents, err := openDiskFile(filepath.Join(dataDir, seatFolder), "the seat's grants", log, opts...)
	if err != nil {
		return nil, lease.PersistedState{}, nil, eris.Wrap(err, "open what the seat remembers")
	}
	m := &seatMemory{log: log, file: file}
	memory, err := m.restore(contents)
	if err != nil {
		return nil, lease.PersistedState{}, nil, eris.Wrap(err, "read what the seat remembers")
	}
	log.Info("seat remembers from the disk", "grants", len(memory.Grants), "settled", memory.SeatsSettled, "version", memory.Config.Version)
	return m, memory, file.close, nil
}

func (m *seatMemory) restore(contents store.Contents) (lease.PersistedState, error) {
	records := contents.Records
	if len(contents.Snapshot) > 0 {
		records = append([][]byte{contents.Snapshot}, records...)
	}
	m.records = len(records)
	for _, data := range records {
		r, err := codec.DecodeSeatRecord(data)
		if err != nil {
			return lease.PersistedState{}, err
		}
		m.take(r)
	}
	memory := lease.PersistedState{Grants: m.known()}
	if m.config == nil {
		return memory, nil
	}
	var err error
	memory.Config, err = codec.DecodeConfig(m.config)
	memory.SeatsSettled = err == nil
	return memory, err
}

func (m *seatMemory) take(r codec.SeatRecord) {
	if r.Config != nil {
		m.config = r.Config
	}
	for _, o := range r.Grants {
		m.grants[o.Shard] = o
	}
}

func (m *seatMemory) known() []proto.Owner {
	var list []proto.Owner
	for _, o := range m.grants {
		if o.Host != "" {
			list = append(list, o)
		}
	}
	return list
}

// write syncs a batch with one append, or with a new snapshot from time to time.
func (m *seatMemory) write(batch []seatSave) error {
	r := recordOf(batch)
	m.take(r)
	m.records++
	if r.Config != nil || m.records >= seatRecords {
		return m.rewrite()
	}
	data, err := codec.EncodeSeatRecord(r)
	if err != nil {
		return err
	}
	return m.file.store().Append(data)
}

func recordOf(batch []seatSave) codec.SeatRecord {
	var r codec.SeatRecord
	for _, s := range batch {
		r.Grants = append(r.Grants, s.keep.Grants...)
		if s.config != nil {
			r.Config = s.config
		}
	}
	return r
}

// rewrite replaces all records by one snapshot.
func (m *seatMemory) rewrite() error {
	data, err := codec.EncodeSeatRecord(codec.SeatRecord{Config: m.config, Grants: m.known()})
	if err != nil {
		return err
	}
	m.records = 0
	return m.file.store().Snapshot(data)
}

func (m *seatMemory) fail(err error) {
	m.log.Error(err, "the seat's disk failed; it grants no shard until the disk takes writes again")
}

// reopen opens the file again and writes all grants, also those that the seat
// made meanwhile. Their answers are dropped: the claimers ask again.
func (m *seatMemory) reopen() error {
	m.take(recordOf(m.disk.take()))
	if _, err := m.file.reopen(); err != nil {
		return err
	}
	return m.rewrite()
}

// note takes what the freshness client publishes.
func (m *seatMemory) note(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		m.latest = f.Config
	case lease.QuorumsChanged:
		m.settled = len(f.Lists) == 1
	default:
	}
}

// save keeps the newest configuration while its list of seats is settled.
func (m *seatMemory) save(now model.Instant) {
	if !m.settled || m.latest.Version == m.savedVersion || now < m.saveAt {
		return
	}
	m.savedVersion, m.saveAt = m.latest.Version, now.Add(settledEvery)
	data, err := codec.EncodeConfig(m.latest.WithoutDocument())
	switch {
	case err != nil:
		m.log.Error(err, "the configuration is not kept for the seat", "version", m.latest.Version)
	case len(data) <= settledBytes:
		m.disk.add(seatSave{config: data})
	}
}
