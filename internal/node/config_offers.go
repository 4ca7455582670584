package node

import (
	"sync"

	"tarragongauge.example/tarragongauge/internal/codec"
	"tarragongauge.example/tarragongauge/internal/part"
	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// maxOlderChanges bounds the changes that an entry host has to apply after the
// configuration that it was offered.
const maxOlderChanges = 32

// configOffers holds the encoded configuration that a control host sends to
// entry hosts. It is safe for concurrent use, and separate from the consensus
// core, which only the leader's staging uses.
type configOffers struct {
	// run starts a task in the background.
	run func(task func())

	mu sync.Mutex
	// data is the configuration of at as CBOR, or nil, guarded by mu.
	data []byte
	at   model.Version
	// keepUntil is when data is freed unless it is requested, or 0, guarded by mu.
	keepUntil model.Instant
	// encoding is set while a task encodes a configuration, guarded by mu.
	encoding bool
	// sender is guarded by mu.
	sender part.Sender
}

// version returns the version of the configuration held, or 0.
func (o *configOffers) version() model.Version {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at
}

// offer returns what a reply carries for a configuration, where since are the
// changes after the version held, if they are known. It returns nothing while
// the configuration is being encoded; the entry host asks again.
func (o *configOffers) offer(now model.Instant, cfg model.Config, heldAt model.Version, since []model.Committed, known bool) ([]byte, *proto.SnapshotOffer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	older := o.at == heldAt && known && len(since) <= maxOlderChanges && len(o.data) > part.Size
	if o.data != nil && (o.at >= cfg.Version || older) {
		return o.sender.Offer(now, o.data)
	}
	if !o.encoding {
		o.encoding = true
		o.run(func() { o.encode(cfg) })
	}
	return nil, nil
}

func (o *configOffers) encode(cfg model.Config) {
	data, err := codec.EncodeConfig(cfg.WithoutDocument())
	o.mu.Lock()
	defer o.mu.Unlock()
	o.encoding = false
	if err == nil {
		o.data, o.at, o.keepUntil = data, cfg.Version, 0
	}
}

// answer returns a requested part, or false if the snapshot is not one of these.
func (o *configOffers) answer(now model.Instant, ask proto.PartAsk) (proto.Part, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.sender.Holds(now, ask.Snapshot) {
		return proto.Part{}, false
	}
	return o.sender.Answer(now, ask), true
}

// expire frees a large configuration that nobody has asked for lately.
func (o *configOffers) expire(now model.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	idle := o.sender.Expire(now)
	switch {
	case len(o.data) <= part.Size:
	case !idle || o.keepUntil == 0:
		o.keepUntil = now.Add(part.RetainFor)
	case now >= o.keepUntil:
		o.data, o.at = nil, 0
	}
}
