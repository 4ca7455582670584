package opsapi

import (
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Proposal is the body of a proposed change. The actor is the owner of the
// bearer token and not part of it.
type Proposal struct {
	ChangeID string `json:"change_id"`
	Base     uint64 `json:"base"`
	Reason   string `json:"reason,omitempty"`
	Change   Change `json:"change"`
}

// Change is the JSON of a model.Change: exactly one field is set. ApplyContent
// occurs in the audit list only.
type Change struct {
	CreateWorkspace   *WorkspaceName `json:"create_workspace,omitempty"`
	WithdrawWorkspace *WorkspaceName `json:"withdraw_workspace,omitempty"`
	IssueKey          *Key           `json:"issue_key,omitempty"`
	WithdrawKey       *KeyName       `json:"withdraw_key,omitempty"`
	SetDefaults       *Defaults      `json:"set_defaults,omitempty"`
	PutException      *Exception     `json:"put_exception,omitempty"`
	RemoveException   *Named         `json:"remove_exception,omitempty"`
	PutService        *Service       `json:"put_service,omitempty"`
	PutRoute          *Route         `json:"put_route,omitempty"`
	RemoveRoute       *Named         `json:"remove_route,omitempty"`
	SetSeats          *Hosts         `json:"set_seats,omitempty"`
	SetControls       *Hosts         `json:"set_controls,omitempty"`
	ApplyContent      *ContentChange `json:"apply_content,omitempty"`
}

// ContentChange counts what a whole configuration added, changed or removed.
// Everything but the revision is 0 if it was refused.
type ContentChange struct {
	Revision   uint64 `json:"revision"`
	Services   int    `json:"services,omitempty"`
	Routes     int    `json:"routes,omitempty"`
	Workspaces int    `json:"workspaces,omitempty"`
	Keys       int    `json:"keys,omitempty"`
}

// WorkspaceName names a workspace.
type WorkspaceName struct {
	Workspace string `json:"workspace"`
}

// KeyName names a key of a workspace.
type KeyName struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Named names an exception or a route.
type Named struct {
	Name string `json:"name"`
}

// Hosts lists hosts.
type Hosts struct {
	Hosts []string `json:"hosts"`
}

// FromProposal returns the JSON of a proposal.
func FromProposal(p model.Proposal) (Proposal, error) {
	ch, err := FromChange(p.Change)
	return Proposal{ChangeID: string(p.ID), Base: uint64(p.Base), Reason: p.Reason, Change: ch}, err
}

// Model returns the proposal without actor and time.
func (p Proposal) Model() (model.Proposal, error) {
	ch, err := p.Change.Model()
	if err != nil {
		return model.Proposal{}, err
	}
	if p.ChangeID == "" || len(p.ChangeID) > model.MaxNameLength {
		return model.Proposal{}, fmt.Errorf("change_id has %d bytes; choose an id of 1 to %d bytes that was never used", len(p.ChangeID), model.MaxNameLength)
	}
	if len(p.Reason) > model.MaxReasonBytes {
		return model.Proposal{}, fmt.Errorf("reason has %d bytes; shorten it to %d bytes", len(p.Reason), model.MaxReasonBytes)
	}
	return model.Proposal{ID: model.ChangeID(p.ChangeID), Base: model.Version(p.Base), Reason: p.Reason, Change: ch}, nil
}

// FromChange returns the JSON of a change.
func FromChange(change model.Change) (Change, error) {
	var out Change
	switch ch := change.(type) {
	case model.CreateWorkspace:
		out.CreateWorkspace = &WorkspaceName{Workspace: string(ch.Workspace)}
	case model.WithdrawWorkspace:
		out.WithdrawWorkspace = &WorkspaceName{Workspace: string(ch.Workspace)}
	case model.IssueKey:
		k := fromKey(ch.Key)
		out.IssueKey = &k
	case model.WithdrawKey:
		out.WithdrawKey = &KeyName{Workspace: string(ch.Workspace), Key: string(ch.Key)}
	case model.SetDefaults:
		d := FromDefaults(ch.Defaults)
		out.SetDefaults = &d
	case model.PutException:
		e := fromException(ch.Exception)
		out.PutException = &e
	case model.RemoveException:
		out.RemoveException = &Named{Name: ch.ID}
	case model.PutService:
		s := fromService(ch.Service)
		out.PutService = &s
	case model.PutRoute:
		r := fromRoute(ch.Route)
		out.PutRoute = &r
	case model.RemoveRoute:
		out.RemoveRoute = &Named{Name: string(ch.Route)}
	case model.SetSeats:
		out.SetSeats = &Hosts{Hosts: names(ch.Seats)}
	case model.SetControls:
		out.SetControls = &Hosts{Hosts: names(ch.Controls)}
	case model.EditContent:
		out.ApplyContent = &ContentChange{
			Revision:   uint64(ch.Revision),
			Services:   len(ch.Services) + len(ch.RemovedServices),
			Routes:     len(ch.Routes) + len(ch.RemovedRoutes),
			Workspaces: len(ch.Workspaces) + len(ch.RemovedWorkspaces),
			Keys:       len(ch.Keys) + len(ch.RemovedKeys),
		}
	case model.ReplaceContent:
		out.ApplyContent = &ContentChange{
			Revision: uint64(ch.Revision), Services: len(ch.Content.Services),
			Routes: len(ch.Content.Routes), Workspaces: len(ch.Content.Workspaces),
		}
	default:
		return out, fmt.Errorf("change %T has no JSON; run the same version of tarragongauge everywhere", change)
	}
	return out, nil
}

// Model returns the change, or an error unless exactly one field is set.
func (c Change) Model() (model.Change, error) {
	found := c.named()
	contents, err := c.contents()
	if err != nil {
		return nil, err
	}
	found = append(found, contents...)
	if len(found) != 1 {
		return nil, fmt.Errorf("the change has %d kinds; give exactly one, such as create_workspace", len(found))
	}
	return found[0], nil
}

// named returns the changes that only name something.
func (c Change) named() []model.Change {
	var found []model.Change
	if w := c.CreateWorkspace; w != nil {
		found = append(found, model.CreateWorkspace{Workspace: model.WorkspaceID(w.Workspace)})
	}
	if w := c.WithdrawWorkspace; w != nil {
		found = append(found, model.WithdrawWorkspace{Workspace: model.WorkspaceID(w.Workspace)})
	}
	if k := c.WithdrawKey; k != nil {
		found = append(found, model.WithdrawKey{Workspace: model.WorkspaceID(k.Workspace), Key: model.KeyID(k.Key)})
	}
	if n := c.RemoveException; n != nil {
		found = append(found, model.RemoveException{ID: n.Name})
	}
	if n := c.RemoveRoute; n != nil {
		found = append(found, model.RemoveRoute{Route: model.RouteName(n.Name)})
	}
	if h := c.SetSeats; h != nil {
		found = append(found, model.SetSeats{Seats: hosts(h.Hosts)})
	}
	if h := c.SetControls; h != nil {
		found = append(found, model.SetControls{Controls: hosts(h.Hosts)})
	}
	return found
}

// contents returns the changes that carry a whole value.
func (c Change) contents() ([]model.Change, error) {
	var found []model.Change
	if c.IssueKey != nil {
		found = append(found, model.IssueKey{Key: c.IssueKey.model()})
	}
	if c.SetDefaults != nil {
		found = append(found, model.SetDefaults{Defaults: c.SetDefaults.Model()})
	}
	if c.PutException != nil {
		e, err := c.PutException.Model()
		if err != nil {
			return nil, err
		}
		found = append(found, model.PutException{Exception: e})
	}
	if c.PutService != nil {
		found = append(found, model.PutService{Service: c.PutService.model()})
	}
	if c.PutRoute != nil {
		found = append(found, model.PutRoute{Route: c.PutRoute.model()})
	}
	return found, nil
}
