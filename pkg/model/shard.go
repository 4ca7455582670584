package model

import (
	"hash/fnv"
	"time"
)

// Numbers of shards. All hosts of a fleet must use the same numbers, because they
// determine which shard holds a workspace or service.
const (
	// WorkspaceShards is the number of shards for workspaces.
	WorkspaceShards = 64
	// ServiceShards is the number of shards for services.
	ServiceShards = 64
	// Shards is the number of all shards. The IDs of service shards follow those of workspace shards.
	Shards = WorkspaceShards + ServiceShards
)

// WorkspaceShard returns the shard that holds the state of a workspace.
func WorkspaceShard(id WorkspaceID) ShardID {
	return ShardID(hashName(string(id)) % WorkspaceShards)
}

// ServiceShard returns the shard that holds the state of a service.
func ServiceShard(name ServiceName) ShardID {
	return ShardID(WorkspaceShards + hashName(string(name))%ServiceShards)
}

// hashName returns the 64-bit FNV-1a hash of a name.
func hashName(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}

// ReserveValidity is how long the reserve that the owner of a workspace shard has
// set aside at its standby may be used after the last message from the standby to
// the owner. It covers the loss of an owner, which takes up to 2.2 s, and the age
// of the owner's last note to the standby.
const ReserveValidity = 4 * time.Second
