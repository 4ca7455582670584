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
	// seatFolder is the name of the folder of the seat's store in the data
	// folder.
	seatFolder = "seat"
	// maxSeatRecords is the number of records after which the file is rewritten.
	// A record of all shards takes about 5 KB.
	maxSeatRecords = 256
	// minConfigSaveInterval is the minimum interval between two writes of the
	// configuration.
	minConfigSaveInterval = time.Second
	// maxSavedConfigBytes is the maximum size of a saved configuration. Without a
	// saved one, a restarted host waits until it knows that the list of seats is
	// in force.
	maxSavedConfigBytes = 256 << 10
)

// seatStore persists what a seat needs after a restart. Its file is written only
// by the goroutine that runs writes.
type seatStore struct {
	log    logr.Logger
	file   *reopenableStore
	writes *diskQueue[seatWrite]
	// grants, config and recordCount are used only by the goroutine that runs
	// writes. They include the contents of failed writes.
	grants      [model.Shards]proto.Owner
	config      []byte
	recordCount int

	// latestConfig, seatsSettled, savedVersion and nextSaveAt are used only under
	// the lock of the freshness client.
	latestConfig model.Config
	seatsSettled bool
	savedVersion model.Version
	nextSaveAt   model.Instant
}

// seatWrite holds grants of the seat to persist or, if persist has no number, an
// encoded configuration.
type seatWrite struct {
	persist lease.PersistGrants
	config  []byte
}

// openSeatStore opens the store of a seat. It returns the store, the state it
// held and a function that closes it.
func openSeatStore(dataDir string, log logr.Logger, opts ...store.Option) (*seatStore, lease.PersistedState, func() error, error) {
	file, contents, err := openReopenableStore(filepath.Join(dataDir, seatFolder), "the seat's grants", log, opts...)
	if err != nil {
		return nil, lease.PersistedState{}, nil, eris.Wrap(err, "open the store of the seat")
	}
	s := &seatStore{log: log, file: file}
	persisted, err := s.restore(contents)
	if err != nil {
		return nil, lease.PersistedState{}, nil, eris.Wrap(err, "read the store of the seat")
	}
	log.Info("seat remembers from the disk", "grants", len(persisted.Grants), "settled", persisted.SeatsSettled, "version", persisted.Config.Version)
	return s, persisted, file.close, nil
}

// restore merges the contents of the store and returns what the seat starts
// with. Only configurations under a settled list of seats are saved, so
// SeatsSettled is set if the contents include one.
func (s *seatStore) restore(contents store.Contents) (lease.PersistedState, error) {
	records := contents.Records
	if len(contents.Snapshot) > 0 {
		records = append([][]byte{contents.Snapshot}, records...)
	}
	s.recordCount = len(records)
	for _, data := range records {
		r, err := codec.DecodeSeatRecord(data)
		if err != nil {
			return lease.PersistedState{}, err
		}
		s.merge(r)
	}
	persisted := lease.PersistedState{Grants: s.grantList()}
	if s.config == nil {
		return persisted, nil
	}
	var err error
	persisted.Config, err = codec.DecodeConfig(s.config)
	persisted.SeatsSettled = err == nil
	return persisted, err
}

// merge applies a record to the configuration and the grants held in memory.
func (s *seatStore) merge(r codec.SeatRecord) {
	if r.Config != nil {
		s.config = r.Config
	}
	for _, o := range r.Grants {
		s.grants[o.Shard] = o
	}
}

// grantList returns the grants that have a host.
func (s *seatStore) grantList() []proto.Owner {
	var list []proto.Owner
	for _, o := range s.grants {
		if o.Host != "" {
			list = append(list, o)
		}
	}
	return list
}

// write writes and syncs a batch with one append. It rewrites the file instead if
// the batch holds a configuration or the file has maxSeatRecords records.
func (s *seatStore) write(batch []seatWrite) error {
	r := recordOf(batch)
	s.merge(r)
	s.recordCount++
	if r.Config != nil || s.recordCount >= maxSeatRecords {
		return s.rewrite()
	}
	data, err := codec.EncodeSeatRecord(r)
	if err != nil {
		return err
	}
	return s.file.store().Append(data)
}

// recordOf combines a batch of writes into one record, which holds all grants
// and the last configuration of the batch.
func recordOf(batch []seatWrite) codec.SeatRecord {
	var r codec.SeatRecord
	for _, s := range batch {
		r.Grants = append(r.Grants, s.persist.Grants...)
		if s.config != nil {
			r.Config = s.config
		}
	}
	return r
}

// rewrite replaces all records by one snapshot.
func (s *seatStore) rewrite() error {
	data, err := codec.EncodeSeatRecord(codec.SeatRecord{Config: s.config, Grants: s.grantList()})
	if err != nil {
		return err
	}
	s.recordCount = 0
	return s.file.store().Snapshot(data)
}

func (s *seatStore) handleDiskError(err error) {
	s.log.Error(err, "the seat's disk failed; it grants no shard until the disk takes writes again")
}

// reopen opens the store again and writes all grants, including those that the
// seat made meanwhile. The replies to these are dropped, because the claimers ask
// again.
func (s *seatStore) reopen() error {
	s.merge(recordOf(s.writes.take()))
	if _, err := s.file.reopen(); err != nil {
		return err
	}
	return s.rewrite()
}

// recordEffect records the configuration in force and whether the list of seats is
// settled, from the effects of the freshness client.
func (s *seatStore) recordEffect(f lease.Effect) {
	switch f := f.(type) {
	case lease.ConfigChanged:
		s.latestConfig = f.Config
	case lease.QuorumsChanged:
		s.seatsSettled = len(f.Lists) == 1
	default:
	}
}

// saveConfig persists the newest configuration if its list of seats is settled.
func (s *seatStore) saveConfig(now model.Instant) {
	if !s.seatsSettled || s.latestConfig.Version == s.savedVersion || now < s.nextSaveAt {
		return
	}
	s.savedVersion, s.nextSaveAt = s.latestConfig.Version, now.Add(minConfigSaveInterval)
	data, err := codec.EncodeConfig(s.latestConfig.WithoutDocument())
	switch {
	case err != nil:
		s.log.Error(err, "cannot encode the configuration for the store of the seat", "version", s.latestConfig.Version)
	case len(data) <= maxSavedConfigBytes:
		s.writes.add(seatWrite{config: data})
	}
}
