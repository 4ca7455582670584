package lease

import (
	"slices"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// keptChanges is how many changes a seat hands out before it sends a snapshot;
// it covers a host that was away for an hour at 5,500 changes a day.
const keptChanges = 256

// maxUpdateBytes is the estimated length of changes above which a host gets a snapshot.
const maxUpdateBytes = 2 << 20

// history is the newest known configuration and the changes that led to it.
type history struct {
	known bool
	cfg   model.Config
	// changes are consecutive and end at cfg.Version. They hold no ReplaceContent:
	// whoever has the version before needs only what that changed.
	changes []model.Committed
	// listSince is a version from which on the list of seats is that of cfg.
	listSince model.Version
	// listSteps counts the changes of the list that the last call of advance applied one by one.
	listSteps int
	// jumped is set when the last call of advance took a snapshot.
	jumped bool
	// encoded is the configuration of encodedAt as CBOR, or nil.
	encoded   []byte
	encodedAt model.Version
}

func (h *history) version() model.Version { return h.cfg.Version }

// advance takes a newer configuration and reports whether it did. It never goes
// back. Changes are used only on top of a known configuration, since the first
// one depends on the settings the fleet was created with.
func (h *history) advance(changes []model.Committed, snapshot []byte) bool {
	before, known := h.cfg.Version, h.known
	h.listSteps, h.jumped = 0, false
	if len(snapshot) > 0 {
		h.adopt(snapshot)
	}
	if h.known {
		h.apply(changes)
	}
	return known != h.known || before != h.cfg.Version
}

func (h *history) adopt(snapshot []byte) {
	cfg, err := codec.DecodeConfig(snapshot)
	if err == nil {
		h.replace(cfg)
	}
}

// advanceTo takes a newer configuration that was decoded before, and reports whether it did.
func (h *history) advanceTo(cfg model.Config) bool {
	h.listSteps, h.jumped = 0, false
	h.replace(cfg)
	return h.jumped
}

func (h *history) replace(cfg model.Config) {
	if h.known && cfg.Version <= h.cfg.Version {
		return
	}
	h.cfg, h.known, h.jumped = cfg, true, true
	h.changes = nil
	h.listSince = cfg.Version
}

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
			h.listSince = c.Version
			h.listSteps++
		}
		if _, whole := c.Proposal.Change.(model.ReplaceContent); whole {
			c.Proposal.Change = model.EditBetween(h.cfg, next)
		}
		h.cfg = next
		h.changes = append(h.changes, c)
	}
	if len(h.changes) > keptChanges {
		h.changes = slices.Clone(h.changes[len(h.changes)-keptChanges:])
	}
}

// since returns the changes after a version, or false if a snapshot is needed.
func (h *history) since(v model.Version) ([]model.Committed, bool) {
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

// update returns the changes that bring a host with version v to the newest
// one, or false if it needs a snapshot.
func (h *history) update(v model.Version) ([]model.Committed, bool) {
	if v == 0 {
		return nil, false
	}
	if v >= h.cfg.Version {
		return nil, true
	}
	return h.since(v)
}

// snapshot encodes the newest configuration unless that was done before.
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
