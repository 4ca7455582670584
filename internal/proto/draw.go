package proto

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Messages of rate limiting, between entry hosts and the owner of a workspace
// shard, which keeps the token buckets of its workspaces.
type (
	// DrawAsk asks for tokens from the bucket of a workspace.
	DrawAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
		Tokens    int
	}
	// DrawReply answers DrawAsk.
	DrawReply struct {
		Nonce         uint64
		Workspace     model.WorkspaceID
		Epoch         model.Epoch
		GrantedTokens int
		// ValidFor is how long the tokens may be used, counted from the sending of DrawAsk.
		ValidFor time.Duration
		// RetryAfter is the time until the next token is expected, if fewer tokens were
		// granted than asked for. With 0 the asker may ask again at once.
		RetryAfter time.Duration
		// NotOwner is set when the answerer does not own the shard.
		NotOwner bool
	}
	// ShareAsk asks another entry host for an unused token of its local share.
	ShareAsk struct {
		Nonce     uint64
		Workspace model.WorkspaceID
	}
	// ShareGift gives the asker of ShareAsk a token, which the sender no longer uses.
	ShareGift struct {
		Nonce     uint64
		Workspace model.WorkspaceID
		// ValidFor is how long the token may be used, counted from the sending of ShareAsk.
		ValidFor time.Duration
	}
)
