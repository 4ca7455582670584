package codec

import (
	"fmt"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// changeDTO has one field set, that of the type of the change. It has none for
// a nil change, which is decoded as nil again, so that Config.Apply refuses it
// with an error for the operator.
type changeDTO struct {
	CreateWorkspace   *model.WorkspaceID `cbor:"1,keyasint,omitempty"`
	WithdrawWorkspace *model.WorkspaceID `cbor:"2,keyasint,omitempty"`
	IssueKey          *keyDTO            `cbor:"3,keyasint,omitempty"`
	WithdrawKey       *withdrawKeyDTO    `cbor:"4,keyasint,omitempty"`
	SetDefaults       *defaultsDTO       `cbor:"5,keyasint,omitempty"`
	PutException      *exceptionDTO      `cbor:"6,keyasint,omitempty"`
	RemoveException   *string            `cbor:"7,keyasint,omitempty"`
	PutService        *serviceDTO        `cbor:"8,keyasint,omitempty"`
	PutRoute          *routeDTO          `cbor:"9,keyasint,omitempty"`
	RemoveRoute       *model.RouteName   `cbor:"10,keyasint,omitempty"`
	SetSeats          *hostsDTO          `cbor:"11,keyasint,omitempty"`
	SetControls       *hostsDTO          `cbor:"12,keyasint,omitempty"`
	ReplaceContent    *replaceContentDTO `cbor:"13,keyasint,omitempty"`
	EditContent       *editContentDTO    `cbor:"14,keyasint,omitempty"`
	SetPriority       *setPriorityDTO    `cbor:"15,keyasint,omitempty"`
	EvacuateZone      *model.ZoneName    `cbor:"16,keyasint,omitempty"`
	ReturnZone        *model.ZoneName    `cbor:"17,keyasint,omitempty"`
}

type withdrawKeyDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Key       model.KeyID       `cbor:"2,keyasint"`
}

type setPriorityDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Priority  *int              `cbor:"2,keyasint,omitempty"`
}

type hostsDTO struct {
	Hosts []model.HostID `cbor:"1,keyasint"`
}

type proposalDTO struct {
	ID        model.ChangeID `cbor:"1,keyasint"`
	Base      model.Version  `cbor:"2,keyasint"`
	Actor     string         `cbor:"3,keyasint"`
	Reason    string         `cbor:"4,keyasint"`
	UnixMilli int64          `cbor:"5,keyasint"`
	Change    changeDTO      `cbor:"6,keyasint"`
}

type committedDTO struct {
	Version  model.Version `cbor:"1,keyasint"`
	Proposal proposalDTO   `cbor:"2,keyasint"`
}

// EncodeProposal encodes a proposal.
func EncodeProposal(p model.Proposal) ([]byte, error) {
	dto, err := proposalToDTO(p)
	if err != nil {
		return nil, err
	}
	return encode("proposal", dto)
}

// DecodeProposal decodes a proposal. The change of the proposal may be nil.
func DecodeProposal(data []byte) (model.Proposal, error) {
	var dto proposalDTO
	if err := decode("proposal", data, &dto); err != nil {
		return model.Proposal{}, err
	}
	return proposalFromDTO(dto)
}

// EncodeCommitted encodes a proposal with the version at which it was committed.
func EncodeCommitted(c model.Committed) ([]byte, error) {
	dto, err := committedToDTO(c)
	if err != nil {
		return nil, err
	}
	return encode("committed change", dto)
}

// DecodeCommitted decodes a proposal with the version at which it was committed.
func DecodeCommitted(data []byte) (model.Committed, error) {
	var dto committedDTO
	if err := decode("committed change", data, &dto); err != nil {
		return model.Committed{}, err
	}
	return committedFromDTO(dto)
}

func proposalToDTO(p model.Proposal) (proposalDTO, error) {
	change, err := changeToDTO(p.Change)
	return proposalDTO{
		ID:        p.ID,
		Base:      p.Base,
		Actor:     p.Actor,
		Reason:    p.Reason,
		UnixMilli: p.UnixMilli,
		Change:    change,
	}, err
}

func proposalFromDTO(dto proposalDTO) (model.Proposal, error) {
	change, err := changeFromDTO(dto.Change)
	if err != nil {
		return model.Proposal{}, err
	}
	return model.Proposal{
		ID:        dto.ID,
		Base:      dto.Base,
		Actor:     dto.Actor,
		Reason:    dto.Reason,
		UnixMilli: dto.UnixMilli,
		Change:    change,
	}, nil
}

func committedToDTO(c model.Committed) (committedDTO, error) {
	p, err := proposalToDTO(c.Proposal)
	return committedDTO{Version: c.Version, Proposal: p}, err
}

func committedFromDTO(dto committedDTO) (model.Committed, error) {
	p, err := proposalFromDTO(dto.Proposal)
	return model.Committed{Version: dto.Version, Proposal: p}, err
}

func changeToDTO(change model.Change) (changeDTO, error) {
	var dto changeDTO
	var err error
	switch ch := change.(type) {
	case nil:
	case model.CreateWorkspace:
		dto.CreateWorkspace = &ch.Workspace
	case model.WithdrawWorkspace:
		dto.WithdrawWorkspace = &ch.Workspace
	case model.IssueKey:
		key := keyToDTO(ch.Key)
		dto.IssueKey = &key
	case model.WithdrawKey:
		dto.WithdrawKey = &withdrawKeyDTO{Workspace: ch.Workspace, Key: ch.Key}
	case model.SetDefaults:
		var defaults defaultsDTO
		defaults, err = defaultsToDTO(ch.Defaults)
		dto.SetDefaults = &defaults
	case model.PutException:
		var exception exceptionDTO
		exception, err = exceptionToDTO(ch.Exception)
		dto.PutException = &exception
	case model.RemoveException:
		dto.RemoveException = &ch.ID
	case model.PutService:
		var service serviceDTO
		service, err = serviceToDTO(ch.Service)
		dto.PutService = &service
	case model.PutRoute:
		var route routeDTO
		route, err = routeToDTO(ch.Route)
		dto.PutRoute = &route
	case model.RemoveRoute:
		dto.RemoveRoute = &ch.Route
	case model.SetSeats:
		dto.SetSeats = &hostsDTO{Hosts: ch.Seats}
	case model.SetControls:
		dto.SetControls = &hostsDTO{Hosts: ch.Controls}
	case model.ReplaceContent:
		var replace replaceContentDTO
		replace, err = replaceContentToDTO(ch)
		dto.ReplaceContent = &replace
	case model.EditContent:
		var edit editContentDTO
		edit, err = editContentToDTO(ch)
		dto.EditContent = &edit
	default:
		return schedulingChangeToDTO(ch)
	}
	return dto, err
}

// schedulingChangeToDTO encodes the changes of what decides which targets and requests
// come first.
func schedulingChangeToDTO(change model.Change) (changeDTO, error) {
	switch ch := change.(type) {
	case model.SetWorkspacePriority:
		return changeDTO{SetPriority: &setPriorityDTO{Workspace: ch.Workspace, Priority: ch.Priority}}, nil
	case model.EvacuateZone:
		return changeDTO{EvacuateZone: &ch.Zone}, nil
	case model.ReturnZone:
		return changeDTO{ReturnZone: &ch.Zone}, nil
	default:
		return changeDTO{}, fmt.Errorf("encode change: type %T has no encoding", ch)
	}
}

func changeFromDTO(dto changeDTO) (model.Change, error) {
	changes := dto.changesByName()
	contents, err := dto.changesWithValue()
	if err != nil {
		return nil, err
	}
	changes = append(changes, contents...)
	if len(changes) > 1 {
		return nil, malformed("change", "%d changes instead of one", len(changes))
	}
	if len(changes) == 0 {
		return nil, nil
	}
	return changes[0], nil
}

// changesByName decodes the changes that only name workspaces, keys,
// exceptions, routes or hosts.
func (dto changeDTO) changesByName() []model.Change {
	var changes []model.Change
	if id := dto.CreateWorkspace; id != nil {
		changes = append(changes, model.CreateWorkspace{Workspace: *id})
	}
	if id := dto.WithdrawWorkspace; id != nil {
		changes = append(changes, model.WithdrawWorkspace{Workspace: *id})
	}
	if k := dto.WithdrawKey; k != nil {
		changes = append(changes, model.WithdrawKey{Workspace: k.Workspace, Key: k.Key})
	}
	if id := dto.RemoveException; id != nil {
		changes = append(changes, model.RemoveException{ID: *id})
	}
	if name := dto.RemoveRoute; name != nil {
		changes = append(changes, model.RemoveRoute{Route: *name})
	}
	if hosts := dto.SetSeats; hosts != nil {
		changes = append(changes, model.SetSeats{Seats: hosts.Hosts})
	}
	if hosts := dto.SetControls; hosts != nil {
		changes = append(changes, model.SetControls{Controls: hosts.Hosts})
	}
	if p := dto.SetPriority; p != nil {
		changes = append(changes, model.SetWorkspacePriority{Workspace: p.Workspace, Priority: p.Priority})
	}
	if zone := dto.EvacuateZone; zone != nil {
		changes = append(changes, model.EvacuateZone{Zone: *zone})
	}
	if zone := dto.ReturnZone; zone != nil {
		changes = append(changes, model.ReturnZone{Zone: *zone})
	}
	return changes
}

// changesWithValue decodes the changes that carry the value of a key, of the
// defaults, or of exceptions, services and routes.
func (dto changeDTO) changesWithValue() ([]model.Change, error) {
	var changes []model.Change
	if k := dto.IssueKey; k != nil {
		key, err := keyFromDTO(*k)
		if err != nil {
			return nil, err
		}
		changes = append(changes, model.IssueKey{Key: key})
	}
	if d := dto.SetDefaults; d != nil {
		changes = append(changes, model.SetDefaults{Defaults: defaultsFromDTO(*d)})
	}
	if e := dto.PutException; e != nil {
		exception, err := exceptionFromDTO(*e)
		if err != nil {
			return nil, err
		}
		changes = append(changes, model.PutException{Exception: exception})
	}
	if s := dto.PutService; s != nil {
		service, err := serviceFromDTO(*s)
		if err != nil {
			return nil, err
		}
		changes = append(changes, model.PutService{Service: service})
	}
	if r := dto.PutRoute; r != nil {
		changes = append(changes, model.PutRoute{Route: routeFromDTO(*r)})
	}
	if r := dto.ReplaceContent; r != nil {
		replace, err := replaceContentFromDTO(*r)
		if err != nil {
			return nil, err
		}
		changes = append(changes, replace)
	}
	if e := dto.EditContent; e != nil {
		edit, err := editContentFromDTO(*e)
		if err != nil {
			return nil, err
		}
		changes = append(changes, edit)
	}
	return changes, nil
}
