package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// TokenReserve is a number of tokens in the bucket of a workspace that the owner
// sets aside for the standby. The owner does not grant them while the StandbyNote
// that carries them is valid.
type TokenReserve struct {
	Workspace model.WorkspaceID
	// Limits are the limits of the workspace when the tokens were set aside.
	Limits model.Limits
	Tokens int
}

// Messages between the owner of a workspace shard and the standby, which is the
// next candidate for the shard.
type (
	// StandbyNote adds or replaces reserves at the standby. It also extends the
	// validity of the reserves of the same shard and epoch that the standby holds.
	StandbyNote struct {
		Shard model.ShardID
		Epoch model.Epoch
		// Nonce grows with each note of an epoch. A reserve replaces only reserves with a lower nonce.
		Nonce uint64
		// StandbyIncarnation and AckedAt echo Incarnation and SentAt of the latest
		// StandbyAck. The reserves are valid from AckedAt, on the standby's clock.
		// StandbyIncarnation is 0 if there is no recent StandbyAck; the note then
		// neither adds nor extends reserves.
		StandbyIncarnation model.Incarnation
		AckedAt            model.Instant
		Reserves           []TokenReserve
	}
	// StandbyAck answers StandbyNote.
	StandbyAck struct {
		Shard model.ShardID
		Epoch model.Epoch
		Nonce uint64
		// Stored is set when the standby holds the reserves of the note, or newer ones.
		Stored bool
		// Incarnation is that of the standby, and SentAt the time of this answer on the standby's clock.
		Incarnation model.Incarnation
		SentAt      model.Instant
	}
)

func (StandbyNote) isMessage() {}
func (StandbyAck) isMessage()  {}
