// Package trust holds the certificates of a fleet: an authority, certificates
// that bind a host to its fleet and roles, the check of a peer's certificate
// and a source that picks up replaced files while the process runs.
package trust

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Role says what the holder of a certificate may do.
type Role string

// Roles of certificates. A host that links to the fleet and serves operators needs two of them.
const (
	RoleControl   Role = "control"
	RoleEntry     Role = "entry"
	RoleJournal   Role = "journal"
	RoleSeat      Role = "seat"
	RoleOperators Role = "operators"
)

// Roles returns all roles.
func Roles() []Role { return []Role{RoleControl, RoleEntry, RoleJournal, RoleSeat, RoleOperators} }

// Identity is what a certificate binds to its key.
type Identity struct {
	Fleet string
	Host  model.HostID
	// Roles is never empty and has no duplicates.
	Roles []Role
}

// HasRole reports whether the identity includes a role.
func (id Identity) HasRole(r Role) bool { return slices.Contains(id.Roles, r) }

// Expectation says whom a certificate must belong to.
type Expectation struct {
	// Fleet is the name of the fleet; empty means that of the authority.
	Fleet string
	// Host is the name of the host; empty accepts every host of the fleet.
	Host model.HostID
	// Roles are all needed.
	Roles []Role
}

// Clock returns the wall-clock time that the validity of certificates is checked against.
type Clock func() time.Time

// Files are the paths of the files of one process.
type Files struct {
	// Authority holds one authority certificate or, during a rotation, several.
	Authority   string
	Certificate string
	Key         string
}
