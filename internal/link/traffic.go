package link

import (
	"reflect"
	"sync"

	"tarragongauge.example/tarragongauge/internal/proto"
	"tarragongauge.example/tarragongauge/pkg/model"
)

// Traffic counts the messages of one type that a host has sent. Bytes are those
// of the encoded messages, before compression.
type Traffic struct {
	Messages uint64 `json:"messages"`
	Bytes    uint64 `json:"bytes"`
	// OtherZone counts those of them that went to another availability zone.
	OtherZoneMessages uint64 `json:"other_zone_messages"`
	OtherZoneBytes    uint64 `json:"other_zone_bytes"`
}

// TrafficStats is what a host has sent on all links, by type of message and in
// all, as bytes on the wire.
type TrafficStats struct {
	Types              map[string]Traffic `json:"types"`
	WireBytes          uint64             `json:"wire_bytes"`
	OtherZoneWireBytes uint64             `json:"other_zone_wire_bytes"`
}

// traffic counts what is sent. It is safe for concurrent use.
type traffic struct {
	zone model.ZoneName

	mu sync.Mutex
	// types is guarded by mu, as are wire and otherWire.
	types           map[reflect.Type]*Traffic
	wire, otherWire uint64
}

func newTraffic(zone model.ZoneName) *traffic {
	return &traffic{zone: zone, types: map[reflect.Type]*Traffic{}}
}

// note counts a message to a host of a zone; the zone of a host that was never
// learned is "" and counts as this one.
func (t *traffic) note(msg proto.Message, zone model.ZoneName, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kind := reflect.TypeOf(msg)
	c := t.types[kind]
	if c == nil {
		c = &Traffic{}
		t.types[kind] = c
	}
	c.Messages++
	c.Bytes += uint64(size)
	if t.other(zone) {
		c.OtherZoneMessages++
		c.OtherZoneBytes += uint64(size)
	}
}

// noteWire counts a frame as it was sent.
func (t *traffic) noteWire(zone model.ZoneName, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.wire += uint64(size)
	if t.other(zone) {
		t.otherWire += uint64(size)
	}
}

func (t *traffic) other(zone model.ZoneName) bool { return zone != "" && zone != t.zone }

func (t *traffic) stats() TrafficStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := TrafficStats{Types: make(map[string]Traffic, len(t.types)), WireBytes: t.wire, OtherZoneWireBytes: t.otherWire}
	for kind, c := range t.types {
		s.Types[kind.Name()] = *c
	}
	return s
}

// Traffic returns what this host has sent, by type of message.
func (m *Mesh) Traffic() TrafficStats { return m.traffic.stats() }
