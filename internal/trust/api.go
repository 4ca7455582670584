// Package trust creates and verifies the certificates of a fleet. An Authority
// issues certificates that bind a host to its fleet and roles, Authorities
// verify the certificate of a peer, and a Source reloads the files of a running
// process when they are replaced.
package trust

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Role is a permission that a certificate grants to its holder.
type Role string

// Roles of certificates. A host that links to the fleet and also serves
// operators needs RoleOperators besides the role of its part in the fleet.
const (
	RoleControl   Role = "control"
	RoleEntry     Role = "entry"
	RoleJournal   Role = "journal"
	RoleSeat      Role = "seat"
	RoleOperators Role = "operators"
)

// Roles returns every role that a certificate can have.
func Roles() []Role { return []Role{RoleControl, RoleEntry, RoleJournal, RoleSeat, RoleOperators} }

// Identity is the fleet, host and roles that a host's certificate binds to its key.
type Identity struct {
	Fleet string
	Host  model.HostID
	// Roles is not empty and has no duplicates.
	Roles []Role
}

// HasRole reports whether r is among the roles of the identity.
func (id Identity) HasRole(r Role) bool { return slices.Contains(id.Roles, r) }

// Expectation is what a certificate is required to name.
type Expectation struct {
	// Fleet is the name of the fleet; if empty, the fleet of the issuing authority is required.
	Fleet string
	// Host is the name of the host; if empty, every host of the fleet is accepted.
	Host model.HostID
	// Roles lists the roles that the certificate must include, all of them.
	Roles []Role
}

// Clock returns the wall-clock time that the validity of certificates is checked against.
type Clock func() time.Time

// Files holds the paths of the certificate files of one process.
type Files struct {
	// Authority is the path of a file with one authority certificate or, during a rotation, several.
	Authority   string
	Certificate string
	Key         string
}
