package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxKeptChanges is the number of changes kept for hosts that lag behind. Hosts that
// need more get a snapshot. It covers an absence of an hour at 5,500 changes a day.
const maxKeptChanges = 256

// maxUpdateBytes is the estimated size of changes above which a host gets a snapshot
// instead. Older changes that would exceed it are not kept.
const maxUpdateBytes = 2 << 20

// history holds the newest known configuration and the latest changes that led to it.
type history struct {
	known bool
	cfg   model.Config
	// changes are consecutive and end at cfg.Version. A ReplaceContent is stored as
	// the edit that it amounts to, which is all that a host with the version before
	// needs.
	changes []model.Committed
	// seatsSince is a version from which on the list of seats equals that of cfg.
	seatsSince model.Version
	// seatChanges is the number of changes of the list of seats that the last call
	// of advance applied one by one.
	seatChanges int
	// tookSnapshot is set when the last call of advance or advanceTo replaced the
	// configuration as a whole.
	tookSnapshot bool
	// encoded is the configuration of version encodedAt as CBOR, or nil.
	encoded   []byte
	encodedAt model.Version
}

func (h *history) version() model.Version { return h.cfg.Version }

// advance takes a newer configuration from a snapshot and changes, and reports
// whether it did. It never goes back to an older version. Changes are applied only
// to a known configuration, since the first one depends on the settings with which
// the fleet was created.
func (h *history) advance(changes []model.Committed, snapshot []byte) bool {
	before, known := h.cfg.Version, h.known
	h.seatChanges, h.tookSnapshot = 0, false
	if len(snapshot) > 0 {
		h.adoptSnapshot(snapshot)
	}
	if h.known {
		h.apply(changes)
	}
	return known != h.known || before != h.cfg.Version
}

// adoptSnapshot takes the configuration of a snapshot if it is newer. A snapshot that
// cannot be decoded is ignored.
func (h *history) adoptSnapshot(snapshot []byte) {
	cfg, err := codec.DecodeConfig(snapshot)
	if err == nil {
		h.replace(cfg)
	}
}

// advanceTo takes a configuration that is already decoded if it is newer, and reports
// whether it did.
func (h *history) advanceTo(cfg model.Config) bool {
	h.seatChanges, h.tookSnapshot = 0, false
	h.replace(cfg)
	return h.tookSnapshot
}

// replace takes a newer configuration as a whole and drops the changes before it.
func (h *history) replace(cfg model.Config) {
	if h.known && cfg.Version <= h.cfg.Version {
		return
	}
	h.cfg, h.known, h.tookSnapshot = cfg, true, true
	h.changes = nil
	h.seatsSince = cfg.Version
}

// apply applies consecutive changes up to the first that fails.
func (h *history) apply(changes []model.Committed) {
	for _, c := range changes {
		if c.Version <= h.cfg.Version {
			continue
		}
		next, err := h.cfg.Apply(c.Version, c.Proposal)
		if err != nil {
			return
		}
		if !slices.Equal(next.Seats, h.cfg.Seats) {
			h.seatsSince = c.Version
			h.seatChanges++
		}
		if _, whole := c.Proposal.Change.(model.ReplaceContent); whole {
			c.Proposal.Change = model.EditBetween(h.cfg, next)
		}
		h.cfg = next
		h.changes = append(h.changes, c)
	}
	h.dropOldChanges()
}

// dropOldChanges keeps at most maxKeptChanges changes and maxUpdateBytes bytes.
func (h *history) dropOldChanges() {
	size, first := 0, len(h.changes)
	for first > 0 && len(h.changes)-first < maxKeptChanges {
		if size += h.changes[first-1].EstimatedSize(); size > maxUpdateBytes {
			break
		}
		first--
	}
	if first > 0 {
		h.changes = slices.Clone(h.changes[first:])
	}
}

// changesSince returns the changes after a version, or false if they are not kept or
// exceed maxUpdateBytes.
func (h *history) changesSince(v model.Version) ([]model.Committed, bool) {
	size := 0
	for i := len(h.changes) - 1; i >= 0; i-- {
		if size += h.changes[i].EstimatedSize(); size > maxUpdateBytes {
			return nil, false
		}
		if h.changes[i].Proposal.Base == v {
			return slices.Clip(h.changes[i:]), true
		}
	}
	return nil, false
}

// changesFor returns the changes that bring a host from version v to the newest
// one, or false if the host needs a snapshot.
func (h *history) changesFor(v model.Version) ([]model.Committed, bool) {
	if v == 0 {
		return nil, false
	}
	if v >= h.cfg.Version {
		return nil, true
	}
	return h.changesSince(v)
}

// snapshot returns the newest configuration as CBOR, or nil if none is known. It
// encodes each version once.
func (h *history) snapshot() []byte {
	if !h.known {
		return nil
	}
	if h.encoded == nil || h.encodedAt != h.cfg.Version {
		h.encoded, _ = codec.EncodeConfig(h.cfg)
		h.encodedAt = h.cfg.Version
	}
	return h.encoded
}
