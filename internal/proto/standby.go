package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// TokenReserve is a number of tokens of one bucket that its owner does not grant
// while the note that holds it is valid.
type TokenReserve struct {
	Workspace model.WorkspaceID
	// Limits are those under which the tokens were set aside.
	Limits model.Limits
	Tokens int
}

// Messages between the owner of a workspace shard and the next candidate for it, the standby.
type (
	// StandbyNote adds or replaces reserves at the standby. It also extends the
	// reserves that the standby holds of the same shard and epoch.
	StandbyNote struct {
		Shard model.ShardID
		Epoch model.Epoch
		// Nonce grows with each note of an epoch. A reserve replaces only one of a lower number.
		Nonce uint64
		// StandbyIncarnation and Heard are those of the latest StandbyAck. Validity counts from
		// Heard, on the standby's clock. Run is 0 if there is no recent one; the
		// note then neither adds nor extends reserves.
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
		// Incarnation is the incarnation of the standby, and Heard the instant of this answer on its clock.
		Incarnation model.Incarnation
		SentAt      model.Instant
	}
)

func (StandbyNote) isMessage() {}
func (StandbyAck) isMessage()  {}
