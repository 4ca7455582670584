package codec

import "tarragongauge.example/tarragongauge/pkg/model"

type editContentDTO struct {
	Revision       model.Revision      `cbor:"1,keyasint"`
	Services       []serviceDTO        `cbor:"2,keyasint,omitempty"`
	ServicesGone   []model.ServiceName `cbor:"3,keyasint,omitempty"`
	Routes         []routeDTO          `cbor:"4,keyasint,omitempty"`
	RoutesGone     []model.RouteName   `cbor:"5,keyasint,omitempty"`
	Workspaces     []model.WorkspaceID `cbor:"6,keyasint,omitempty"`
	WorkspacesGone []model.WorkspaceID `cbor:"7,keyasint,omitempty"`
	Keys           []keyDTO            `cbor:"8,keyasint,omitempty"`
	KeysGone       [][]byte            `cbor:"9,keyasint,omitempty"`
	Exceptions     []exceptionDTO      `cbor:"10,keyasint,omitempty"`
	ExceptionsGone []string            `cbor:"11,keyasint,omitempty"`
	Priorities     []priorityDTO       `cbor:"12,keyasint,omitempty"`
	PrioritiesGone []model.WorkspaceID `cbor:"13,keyasint,omitempty"`
}

func editContentToDTO(e model.EditContent) (editContentDTO, error) {
	dto := editContentDTO{
		Revision: e.Revision, ServicesGone: e.RemovedServices, RoutesGone: e.RemovedRoutes,
		Workspaces: e.Workspaces, WorkspacesGone: e.RemovedWorkspaces, ExceptionsGone: e.RemovedExceptions, PrioritiesGone: e.RemovedPriorities,
	}
	for _, p := range e.Priorities {
		dto.Priorities = append(dto.Priorities, priorityDTO(p))
	}
	for _, k := range e.Keys {
		dto.Keys = append(dto.Keys, keyToDTO(k))
	}
	for _, hash := range e.RemovedKeys {
		dto.KeysGone = append(dto.KeysGone, hash[:])
	}
	var err error
	if dto.Services, err = mapSlice(e.Services, serviceToDTO); err != nil {
		return dto, err
	}
	if dto.Routes, err = mapSlice(e.Routes, routeToDTO); err != nil {
		return dto, err
	}
	dto.Exceptions, err = mapSlice(e.Exceptions, exceptionToDTO)
	return dto, err
}

func editContentFromDTO(dto editContentDTO) (model.EditContent, error) {
	e := model.EditContent{
		Revision: dto.Revision, RemovedServices: dto.ServicesGone, RemovedRoutes: dto.RoutesGone,
		Workspaces: dto.Workspaces, RemovedWorkspaces: dto.WorkspacesGone, RemovedExceptions: dto.ExceptionsGone,
		Priorities: prioritiesFromDTO(dto.Priorities), RemovedPriorities: dto.PrioritiesGone,
	}
	for _, r := range dto.Routes {
		e.Routes = append(e.Routes, routeFromDTO(r))
	}
	var err error
	if e.Services, err = mapSlice(dto.Services, serviceFromDTO); err != nil {
		return e, err
	}
	if e.Keys, err = mapSlice(dto.Keys, keyFromDTO); err != nil {
		return e, err
	}
	if e.Exceptions, err = mapSlice(dto.Exceptions, exceptionFromDTO); err != nil {
		return e, err
	}
	e.RemovedKeys, err = mapSlice(dto.KeysGone, func(hash []byte) (model.KeyHash, error) {
		return decodeDigest[model.KeyHash]("key", hash)
	})
	return e, err
}
