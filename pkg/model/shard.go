package model

import (
	"hash/fnv"
	"time"
)

// The number of shards of each kind. Every host of a fleet must agree on it.
const (
	WorkspaceShards = 64
	ServiceShards   = 64
	// Shards is the number of shards of both kinds; service shards follow workspace shards.
	Shards = WorkspaceShards + ServiceShards
)

// WorkspaceShard returns the shard that holds the state of a workspace.
func WorkspaceShard(id WorkspaceID) ShardID {
	return ShardID(hash(string(id)) % WorkspaceShards)
}

// ServiceShard returns the shard that holds the state of a service.
func ServiceShard(name ServiceName) ShardID {
	return ShardID(WorkspaceShards + hash(string(name))%ServiceShards)
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// ReserveValidity is how long the reserve that the owner of a workspace shard has
// set aside at its standby may be used after the standby was last heard. It
// covers the loss of an owner, 2.2 s at worst, and the age of its last note.
const ReserveValidity = 4 * time.Second
