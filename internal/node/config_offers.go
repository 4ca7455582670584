package node

import (
	"sync"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxChangesAfterOffer bounds the changes that an entry host must apply after an
// offered snapshot that is older than the newest configuration.
const maxChangesAfterOffer = 32

// configOffers holds the encoded configuration that a control host sends to entry
// hosts as a snapshot. It is safe for concurrent use. It is separate from the
// consensus core, whose own snapshots are used only by the leader's staging.
type configOffers struct {
	// background starts a task in the background.
	background func(task func())

	mu sync.Mutex
	// data holds the CBOR encoding of the configuration of version dataVersion,
	// or nil. Both are guarded by mu.
	data        []byte
	dataVersion model.Version
	// retainUntil is the instant at which data is freed unless it is requested,
	// or 0. It is guarded by mu.
	retainUntil model.Instant
	// encoding is set while a task encodes a configuration. It is guarded by mu.
	encoding bool
	// sender sends data in parts. It is guarded by mu.
	sender part.Sender
}

// heldVersion returns the version of the held configuration, or 0 if there is
// none.
func (o *configOffers) heldVersion() model.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.dataVersion
}

// offer returns the snapshot, or the offer of a snapshot, that a reply carries
// for cfg. The changes are those after version sinceVersion, if changesKnown is
// set. A held configuration that is older than cfg is offered too, if few changes
// follow it and it is larger than one part. While a configuration is being
// encoded, offer returns nothing and the entry host asks again.
func (o *configOffers) offer(now model.Instant, cfg model.Config, sinceVersion model.Version, changes []model.Committed, changesKnown bool) ([]byte, *proto.SnapshotOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	usable := o.dataVersion == sinceVersion && changesKnown && len(changes) <= maxChangesAfterOffer && len(o.data) > part.Size
	if o.data != nil && (o.dataVersion >= cfg.Version || usable) {
		return o.sender.Offer(now, o.data)
	}
	if !o.encoding {
		o.encoding = true
		o.background(func() { o.encode(cfg) })
	}
	return nil, nil
}

// encode encodes a configuration and keeps the result for the hosts that
// request it. If the encoding fails, the next offer starts another one.
func (o *configOffers) encode(cfg model.Config) {
	data, err := codec.EncodeConfig(cfg.WithoutDocument())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.encoding = false
	if err == nil {
		o.data, o.dataVersion, o.retainUntil = data, cfg.Version, 0
	}
}

// answer returns a requested part. It returns false if the snapshot was not
// offered here.
func (o *configOffers) answer(now model.Instant, ask proto.PartAsk) (proto.Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.sender.Holds(now, ask.Snapshot) {
		return proto.Part{}, false
	}
	return o.sender.Answer(now, ask), true
}

// expire frees a large configuration that no host has requested recently.
func (o *configOffers) expire(now model.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	idle := o.sender.Expire(now)
	switch {
	case len(o.data) <= part.Size:
	case !idle || o.retainUntil == 0:
		o.retainUntil = now.Add(part.RetainFor)
	case now >= o.retainUntil:
		o.data, o.dataVersion = nil, 0
	}
}
