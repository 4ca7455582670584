package proto

import "tarragongauge.example/tarragongauge/pkg/model"

// Reserve is a number of tokens of one bucket that its owner does not grant
// while the note that holds it is valid.
type Reserve struct {
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
		// Run and Heard are those of the latest StandbyAck. Validity counts from
		// Heard, on the standby's clock. Run is 0 if there is no recent one; the
		// note then neither adds nor extends reserves.
		Run      model.Incarnation
		Heard    model.Instant
		Reserves []Reserve
	}
	// StandbyAck answers StandbyNote.
	StandbyAck struct {
		Shard model.ShardID
		Epoch model.Epoch
		Nonce uint64
		// Held is set when the standby holds the reserves of the note, or newer ones.
		Held bool
		// Run is the incarnation of the standby, and Heard the instant of this answer on its clock.
		Run   model.Incarnation
		Heard model.Instant
	}
)

func (StandbyNote) isMessage() {}
func (StandbyAck) isMessage()  {}
