package codec

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// KnownTargets holds the targets and the size of the fleet that a control host
// knew last. It stores them on its disk, so that after a restart requests are
// served before all targets have announced themselves again.
type KnownTargets struct {
	Targets []model.Announcement
	// EntryHostCount is the number of live entry hosts.
	EntryHostCount int
}

type announcementDTO struct {
	Service       model.ServiceName `cbor:"1,keyasint"`
	Target        model.TargetID    `cbor:"2,keyasint"`
	Addr          string            `cbor:"3,keyasint"`
	Zone          model.ZoneName    `cbor:"4,keyasint"`
	Slots         int               `cbor:"5,keyasint"`
	Incarnation   model.Incarnation `cbor:"6,keyasint"`
	State         model.TargetState `cbor:"7,keyasint"`
	Load          float64           `cbor:"8,keyasint,omitempty"`
	ColdRemaining time.Duration     `cbor:"9,keyasint,omitempty"`
}

type knownTargetsDTO struct {
	Targets        []announcementDTO `cbor:"1,keyasint"`
	EntryHostCount int               `cbor:"2,keyasint"`
}

// EncodeKnownTargets encodes the known targets. It refuses a load that is not a finite number.
func EncodeKnownTargets(k KnownTargets) ([]byte, error) {
	dto := knownTargetsDTO{EntryHostCount: k.EntryHostCount}
	for _, a := range k.Targets {
		if err := checkFinite("announcement", a.Load); err != nil {
			return nil, err
		}
		dto.Targets = append(dto.Targets, announcementDTO(a))
	}
	return encode("known targets", dto)
}

// DecodeKnownTargets decodes the known targets. It refuses unknown target states.
func DecodeKnownTargets(data []byte) (KnownTargets, error) {
	var dto knownTargetsDTO
	if err := decode("known targets", data, &dto); err != nil {
		return KnownTargets{}, err
	}
	k := KnownTargets{EntryHostCount: dto.EntryHostCount}
	for _, a := range dto.Targets {
		if a.State < model.TargetReady || a.State > model.TargetLeaving {
			return KnownTargets{}, malformed("known targets", "unknown state %d", a.State)
		}
		k.Targets = append(k.Targets, model.Announcement(a))
	}
	return k, nil
}

// TargetsDigest returns a digest of a list of targets that does not depend on
// their order: the sum of their TargetDigests. It is 0 for an empty list.
func TargetsDigest(list []model.Announcement) uint64 {
	var sum uint64
	for _, a := range list {
		sum += TargetDigest(a)
	}
	return sum
}

// TargetDigest returns a digest of what a target announced, without its load and
// with only whether it is cold.
// TargetsDigest adds these digests up, so each input bit must affect the whole
// hash. With FNV, the sum stayed the same when two targets swapped their states.
func TargetDigest(a model.Announcement) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, part := range []string{string(a.Service), string(a.Target), a.Addr, string(a.Zone)} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], uint64(a.Slots))
	binary.LittleEndian.PutUint64(b[8:], uint64(a.Incarnation))
	binary.LittleEndian.PutUint64(b[16:], uint64(a.State))
	_, _ = h.Write(b[:])
	if a.ColdRemaining > 0 {
		// Nothing is added for a warm target, so that hosts of an earlier version
		// compute the same digest.
		_, _ = h.Write([]byte{1})
	}
	return h.Sum64()
}
