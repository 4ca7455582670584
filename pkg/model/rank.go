package model

import (
	"cmp"
	"hash/fnv"
)

// Rank is the urgency of a request. Lower numbers are more urgent. The priority of the
// workspace decides first, that of the route decides between equal ones.
type Rank struct {
	Workspace int
	Route     int
}

// DefaultWorkspacePriority is the priority of a workspace for which none is set.
const DefaultWorkspacePriority = 1

// Compare returns a negative number if r is more urgent than other, 0 if they are
// equal and a positive number otherwise.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Workspace, other.Workspace), cmp.Compare(r.Route, other.Route))
}

// WorkspacePriority is the priority that an operator gave to a workspace.
type WorkspacePriority struct {
	Workspace WorkspaceID
	Priority  int
}

// SetWorkspacePriority sets the priority of a workspace, or removes it if Priority
// is nil.
type SetWorkspacePriority struct {
	Workspace WorkspaceID
	Priority  *int
}

func (SetWorkspacePriority) isChange() {}

// RequestClass identifies requests of one kind, which usually take the same time.
type RequestClass uint32

// ClassOf returns the class of the requests of a route.
func ClassOf(route RouteName) RequestClass {
	h := fnv.New32a()
	_, _ = h.Write([]byte(route))
	return RequestClass(h.Sum32())
}

// RankFor returns the rank of a workspace's request on a route. The workspace is
// empty on an open route. It does not allocate.
func (c Config) RankFor(ws WorkspaceID, r Route) Rank {
	rank := Rank{Workspace: DefaultWorkspacePriority, Route: r.Priority}
	if p, ok := c.Priorities.Get(ws); ok {
		rank.Workspace = p.Priority
	}
	return rank
}

func (c Config) setWorkspacePriority(ch SetWorkspacePriority) (Config, error) {
	if err := c.checkActiveWorkspace(ch.Workspace); err != nil {
		return c, err
	}
	if ch.Priority == nil {
		c.Priorities = c.Priorities.Without(ch.Workspace)
		return c, nil
	}
	c.Priorities = c.Priorities.With(ch.Workspace, WorkspacePriority{Workspace: ch.Workspace, Priority: *ch.Priority})
	return c, nil
}

// newPriorities returns the index of the priorities in whole content.
func newPriorities(list []WorkspaceContent) Index[WorkspaceID, WorkspacePriority] {
	var out []WorkspacePriority
	for _, w := range list {
		if w.Priority != nil {
			out = append(out, WorkspacePriority{Workspace: w.Workspace, Priority: *w.Priority})
		}
	}
	return NewIndex(out, workspaceOfPriority)
}

func workspaceOfPriority(p WorkspacePriority) WorkspaceID { return p.Workspace }
