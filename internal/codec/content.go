package codec

import (
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

type routeDTO struct {
	Name            model.RouteName   `cbor:"1,keyasint"`
	PathPrefix      string            `cbor:"2,keyasint"`
	Methods         []string          `cbor:"3,keyasint"`
	Service         model.ServiceName `cbor:"4,keyasint"`
	Open            bool              `cbor:"5,keyasint,omitempty"`
	Idempotent      bool              `cbor:"6,keyasint,omitempty"`
	RequireOrderKey bool              `cbor:"7,keyasint,omitempty"`
	Host            string            `cbor:"8,keyasint,omitempty"`
	Split           []shareDTO        `cbor:"9,keyasint,omitempty"`
	Attempts        int               `cbor:"10,keyasint,omitempty"`
	Timeout         time.Duration     `cbor:"11,keyasint,omitempty"`
	Objective       time.Duration     `cbor:"12,keyasint,omitempty"`
	Priority        int               `cbor:"13,keyasint,omitempty"`
}

type shareDTO struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Weight  float64           `cbor:"2,keyasint"`
}

type workspaceContentDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Limits    *limitsDTO        `cbor:"2,keyasint,omitempty"`
	Keys      []contentKeyDTO   `cbor:"3,keyasint,omitempty"`
	Priority  *int              `cbor:"4,keyasint,omitempty"`
}

// contentKeyDTO is a key in a workspaceContentDTO, which names the workspace of the key.
type contentKeyDTO struct {
	ID   model.KeyID `cbor:"1,keyasint"`
	Hash []byte      `cbor:"2,keyasint"`
}

type contentDTO struct {
	Services   []serviceDTO          `cbor:"1,keyasint"`
	Routes     []routeDTO            `cbor:"2,keyasint"`
	Workspaces []workspaceContentDTO `cbor:"3,keyasint"`
}

type replaceContentDTO struct {
	Revision model.Revision `cbor:"1,keyasint"`
	Content  contentDTO     `cbor:"2,keyasint"`
	Document []byte         `cbor:"3,keyasint,omitempty"`
}

func routeToDTO(r model.Route) (routeDTO, error) {
	dto := routeDTO{
		Name: r.Name, PathPrefix: r.PathPrefix, Methods: r.Methods, Service: r.Service, Open: r.Open,
		Idempotent: r.Idempotent, RequireOrderKey: r.RequireOrderKey, Host: r.Host, Attempts: r.Attempts,
		Timeout: r.Timeout, Objective: r.Objective, Priority: r.Priority,
	}
	for _, s := range r.Split {
		if err := checkFinite("route", s.Weight); err != nil {
			return dto, err
		}
		dto.Split = append(dto.Split, shareDTO(s))
	}
	return dto, nil
}

func routeFromDTO(dto routeDTO) model.Route {
	r := model.Route{
		Name: dto.Name, PathPrefix: dto.PathPrefix, Methods: dto.Methods, Service: dto.Service, Open: dto.Open,
		Idempotent: dto.Idempotent, RequireOrderKey: dto.RequireOrderKey, Host: dto.Host, Attempts: dto.Attempts,
		Timeout: dto.Timeout, Objective: dto.Objective, Priority: dto.Priority,
	}
	for _, s := range dto.Split {
		r.Split = append(r.Split, model.Share(s))
	}
	return r
}

func replaceContentToDTO(ch model.ReplaceContent) (replaceContentDTO, error) {
	dto := replaceContentDTO{Revision: ch.Revision, Document: ch.Document}
	routes, err := mapSlice(ch.Content.Routes, routeToDTO)
	if err != nil {
		return dto, err
	}
	dto.Content.Routes = routes
	if dto.Content.Services, err = mapSlice(ch.Content.Services, serviceToDTO); err != nil {
		return dto, err
	}
	for _, w := range ch.Content.Workspaces {
		workspace := workspaceContentDTO{Workspace: w.Workspace, Priority: w.Priority}
		if w.Limits != nil {
			if err := checkFinite("workspace", w.Limits.Rate, w.Limits.Burst); err != nil {
				return dto, err
			}
			limits := limitsDTO(*w.Limits)
			workspace.Limits = &limits
		}
		for _, k := range w.Keys {
			workspace.Keys = append(workspace.Keys, contentKeyDTO{ID: k.ID, Hash: k.Hash[:]})
		}
		dto.Content.Workspaces = append(dto.Content.Workspaces, workspace)
	}
	return dto, nil
}

func replaceContentFromDTO(dto replaceContentDTO) (model.ReplaceContent, error) {
	ch := model.ReplaceContent{Revision: dto.Revision, Document: dto.Document}
	services, err := mapSlice(dto.Content.Services, serviceFromDTO)
	if err != nil {
		return ch, err
	}
	ch.Content.Services = services
	for _, r := range dto.Content.Routes {
		ch.Content.Routes = append(ch.Content.Routes, routeFromDTO(r))
	}
	for _, w := range dto.Content.Workspaces {
		workspace, err := workspaceContentFromDTO(w)
		if err != nil {
			return ch, err
		}
		ch.Content.Workspaces = append(ch.Content.Workspaces, workspace)
	}
	return ch, nil
}

func workspaceContentFromDTO(dto workspaceContentDTO) (model.WorkspaceContent, error) {
	workspace := model.WorkspaceContent{Workspace: dto.Workspace, Priority: dto.Priority}
	if dto.Limits != nil {
		limits := model.Limits(*dto.Limits)
		workspace.Limits = &limits
	}
	for _, k := range dto.Keys {
		hash, err := decodeDigest[model.KeyHash]("key", k.Hash)
		if err != nil {
			return workspace, err
		}
		workspace.Keys = append(workspace.Keys, model.Key{ID: k.ID, Workspace: dto.Workspace, Hash: hash})
	}
	return workspace, nil
}
