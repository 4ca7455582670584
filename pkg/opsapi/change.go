package opsapi

import (
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Proposal is the body of a request that proposes a change. It has no actor,
// because the actor is the owner of the bearer token.
type Proposal struct {
	// ChangeID has 1 to 64 bytes. A proposal sent again with the same ID gets the result of the first one.
	ChangeID string `json:"change_id"`
	// Base is the version of the configuration on which the change is based.
	Base   uint64 `json:"base"`
	Reason string `json:"reason,omitempty"`
	Change Change `json:"change"`
}

// Change is the JSON form of a model.Change. Exactly one field is set.
// ApplyContent is set only in the audit list and cannot be proposed.
type Change struct {
	CreateWorkspace   *WorkspaceName     `json:"create_workspace,omitempty"`
	WithdrawWorkspace *WorkspaceName     `json:"withdraw_workspace,omitempty"`
	IssueKey          *Key               `json:"issue_key,omitempty"`
	WithdrawKey       *KeyName           `json:"withdraw_key,omitempty"`
	SetDefaults       *Defaults          `json:"set_defaults,omitempty"`
	PutException      *Exception         `json:"put_exception,omitempty"`
	RemoveException   *Named             `json:"remove_exception,omitempty"`
	PutService        *Service           `json:"put_service,omitempty"`
	PutRoute          *Route             `json:"put_route,omitempty"`
	RemoveRoute       *Named             `json:"remove_route,omitempty"`
	SetSeats          *Hosts             `json:"set_seats,omitempty"`
	SetControls       *Hosts             `json:"set_controls,omitempty"`
	ApplyContent      *ContentChange     `json:"apply_content,omitempty"`
	SetPriority       *WorkspacePriority `json:"set_priority,omitempty"`
	EvacuateZone      *ZoneName          `json:"evacuate_zone,omitempty"`
	ReturnZone        *ZoneName          `json:"return_zone,omitempty"`
}

// ContentChange summarizes the change that a whole configuration made. Each count
// is the number of items that were added, changed or removed. All counts are 0 if
// the configuration was refused.
type ContentChange struct {
	Revision   uint64 `json:"revision"`
	Services   int    `json:"services,omitempty"`
	Routes     int    `json:"routes,omitempty"`
	Workspaces int    `json:"workspaces,omitempty"`
	Keys       int    `json:"keys,omitempty"`
}

// WorkspaceName is the JSON form of a change that needs only the name of a workspace.
type WorkspaceName struct {
	Workspace string `json:"workspace"`
}

// KeyName is the JSON form of a change that needs only the name of a key and of its workspace.
type KeyName struct {
	Workspace string `json:"workspace"`
	Key       string `json:"key"`
}

// Named is the JSON form of a change that needs only the name of an exception or a route.
type Named struct {
	Name string `json:"name"`
}

// ZoneName is the JSON form of a change that needs only the name of an availability zone.
type ZoneName struct {
	Zone string `json:"zone"`
}

// Hosts is the JSON form of a change that replaces a list of hosts.
type Hosts struct {
	Hosts []string `json:"hosts"`
}

// FromProposal returns the JSON form of a proposal. It returns an error if the
// change has no JSON form.
func FromProposal(p model.Proposal) (Proposal, error) {
	ch, err := FromChange(p.Change)
	return Proposal{ChangeID: string(p.ID), Base: uint64(p.Base), Reason: p.Reason, Change: ch}, err
}

// Model returns the proposal as a model.Proposal without actor and time. It
// returns an error unless exactly one field of the change is set and the lengths
// of change id and reason are in range.
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

// FromChange returns the JSON form of a change. Of an EditContent
// the JSON form counts the items that it changes, of a ReplaceContent the
// services, routes and workspaces that it holds. FromChange returns an error for
// an unknown type.
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
		out.SetSeats = &Hosts{Hosts: toStrings(ch.Seats)}
	case model.SetControls:
		out.SetControls = &Hosts{Hosts: toStrings(ch.Controls)}
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
		return fromSchedulingChange(ch)
	}
	return out, nil
}

// fromSchedulingChange returns the JSON form of a change of what decides which targets
// and requests come first.
func fromSchedulingChange(change model.Change) (Change, error) {
	switch ch := change.(type) {
	case model.SetWorkspacePriority:
		return Change{SetPriority: &WorkspacePriority{Workspace: string(ch.Workspace), Priority: ch.Priority}}, nil
	case model.EvacuateZone:
		return Change{EvacuateZone: &ZoneName{Zone: string(ch.Zone)}}, nil
	case model.ReturnZone:
		return Change{ReturnZone: &ZoneName{Zone: string(ch.Zone)}}, nil
	default:
		return Change{}, fmt.Errorf("change %T has no JSON; run the same version of tarragongauge everywhere", change)
	}
}

// Model returns the change as a model.Change. It returns an error unless exactly
// one field other than ApplyContent is set.
func (c Change) Model() (model.Change, error) {
	found := c.nameChanges()
	contents, err := c.valueChanges()
	if err != nil {
		return nil, err
	}
	found = append(found, contents...)
	if len(found) != 1 {
		return nil, fmt.Errorf("the change has %d kinds; give exactly one, such as create_workspace", len(found))
	}
	return found[0], nil
}

// nameChanges returns the changes whose fields are set and which consist only of names.
func (c Change) nameChanges() []model.Change {
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
		found = append(found, model.SetSeats{Seats: toHostIDs(h.Hosts)})
	}
	if h := c.SetControls; h != nil {
		found = append(found, model.SetControls{Controls: toHostIDs(h.Hosts)})
	}
	if p := c.SetPriority; p != nil {
		found = append(found, model.SetWorkspacePriority{Workspace: model.WorkspaceID(p.Workspace), Priority: p.Priority})
	}
	if z := c.EvacuateZone; z != nil {
		found = append(found, model.EvacuateZone{Zone: model.ZoneName(z.Zone)})
	}
	if z := c.ReturnZone; z != nil {
		found = append(found, model.ReturnZone{Zone: model.ZoneName(z.Zone)})
	}
	return found
}

// valueChanges returns the changes whose fields are set and which hold a whole value, such as a route.
func (c Change) valueChanges() ([]model.Change, error) {
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
