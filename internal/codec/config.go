package codec

import (
	"slices"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

type limitsDTO struct {
	Rate  float64 `cbor:"1,keyasint"`
	Burst float64 `cbor:"2,keyasint"`
}

type objectiveDTO struct {
	Availability float64       `cbor:"1,keyasint"`
	Latency      time.Duration `cbor:"2,keyasint"`
	LatencyShare float64       `cbor:"3,keyasint"`
}

type defaultsDTO struct {
	Limits      limitsDTO     `cbor:"1,keyasint"`
	Deadline    time.Duration `cbor:"2,keyasint"`
	RetryShare  float64       `cbor:"3,keyasint"`
	Floor       float64       `cbor:"4,keyasint"`
	Slots       int           `cbor:"5,keyasint"`
	Connections int           `cbor:"6,keyasint"`
	QueueLimit  int           `cbor:"7,keyasint"`
	Objective   objectiveDTO  `cbor:"8,keyasint"`
}

type workspaceDTO struct {
	ID          model.WorkspaceID `cbor:"1,keyasint"`
	Withdrawn   bool              `cbor:"2,keyasint,omitempty"`
	WithdrawnAt model.Version     `cbor:"3,keyasint,omitempty"`
}

type keyDTO struct {
	ID        model.KeyID       `cbor:"1,keyasint"`
	Workspace model.WorkspaceID `cbor:"2,keyasint"`
	Hash      []byte            `cbor:"3,keyasint"`
}

type serviceDTO struct {
	Name         model.ServiceName `cbor:"1,keyasint"`
	AnnounceHash []byte            `cbor:"2,keyasint"`
	HealthPath   string            `cbor:"3,keyasint,omitempty"`
	Connections  int               `cbor:"4,keyasint,omitempty"`
	ColdStart    time.Duration     `cbor:"5,keyasint,omitempty"`
	WarmupRate   float64           `cbor:"6,keyasint,omitempty"`
}

type priorityDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Priority  int               `cbor:"2,keyasint"`
}

// exceptionDTO has one override field set, that of the type of the override. It
// has none for a nil override.
type exceptionDTO struct {
	ID        string                `cbor:"1,keyasint"`
	Reason    string                `cbor:"2,keyasint"`
	Limits    *limitsOverrideDTO    `cbor:"3,keyasint,omitempty"`
	Deadline  *deadlineOverrideDTO  `cbor:"4,keyasint,omitempty"`
	Floor     *floorOverrideDTO     `cbor:"5,keyasint,omitempty"`
	Objective *objectiveOverrideDTO `cbor:"6,keyasint,omitempty"`
}

type limitsOverrideDTO struct {
	Workspace model.WorkspaceID `cbor:"1,keyasint"`
	Limits    limitsDTO         `cbor:"2,keyasint"`
}

type deadlineOverrideDTO struct {
	Route    model.RouteName `cbor:"1,keyasint"`
	Deadline time.Duration   `cbor:"2,keyasint"`
}

type floorOverrideDTO struct {
	Service model.ServiceName `cbor:"1,keyasint"`
	Floor   float64           `cbor:"2,keyasint"`
}

type objectiveOverrideDTO struct {
	Service   model.ServiceName `cbor:"1,keyasint"`
	Objective objectiveDTO      `cbor:"2,keyasint"`
}

// configDTO lists workspaces, services and exceptions in the order of their
// names, and keys in the order of their digests, so that equal configurations
// have equal bytes.
type configDTO struct {
	Version    model.Version    `cbor:"1,keyasint"`
	Defaults   defaultsDTO      `cbor:"2,keyasint"`
	Workspaces workspacesDTO    `cbor:"3,keyasint"`
	Keys       keysDTO          `cbor:"4,keyasint"`
	Services   []serviceDTO     `cbor:"5,keyasint"`
	Routes     []routeDTO       `cbor:"6,keyasint"`
	Exceptions []exceptionDTO   `cbor:"7,keyasint"`
	Seats      []model.HostID   `cbor:"8,keyasint"`
	Controls   []model.HostID   `cbor:"9,keyasint"`
	Revision   model.Revision   `cbor:"10,keyasint,omitempty"`
	Document   []byte           `cbor:"11,keyasint,omitempty"`
	Priorities []priorityDTO    `cbor:"12,keyasint,omitempty"`
	Evacuated  []model.ZoneName `cbor:"13,keyasint,omitempty"`
}

// EncodeConfig encodes a configuration. Equal configurations have equal bytes.
func EncodeConfig(cfg model.Config) ([]byte, error) {
	dto, err := configToDTO(cfg)
	if err != nil {
		return nil, err
	}
	return encode("configuration", dto)
}

// DecodeConfig decodes a configuration. It inserts workspaces and keys into
// their tables one by one, without a list of all of them in memory.
func DecodeConfig(data []byte) (model.Config, error) {
	var dto configDTO
	if err := decode("configuration", data, &dto); err != nil {
		return model.Config{}, err
	}
	return configFromDTO(dto)
}

func configToDTO(cfg model.Config) (configDTO, error) {
	defaults, err := defaultsToDTO(cfg.Defaults)
	if err != nil {
		return configDTO{}, err
	}
	dto := configDTO{
		Version:    cfg.Version,
		Defaults:   defaults,
		Workspaces: workspacesDTO{cfg.Workspaces},
		Keys:       keysDTO{cfg.Keys},
		Seats:      cfg.Seats,
		Controls:   cfg.Controls,
		Revision:   cfg.Revision,
		Document:   cfg.Document,
		Evacuated:  cfg.Evacuated,
	}
	for s := range cfg.Services.All() {
		service, err := serviceToDTO(s)
		if err != nil {
			return configDTO{}, err
		}
		dto.Services = append(dto.Services, service)
	}
	for p := range cfg.Priorities.All() {
		dto.Priorities = append(dto.Priorities, priorityDTO(p))
	}
	for r := range cfg.Routes.All() {
		route, err := routeToDTO(r)
		if err != nil {
			return configDTO{}, err
		}
		dto.Routes = append(dto.Routes, route)
	}
	for e := range cfg.Exceptions.All() {
		ex, err := exceptionToDTO(e)
		if err != nil {
			return configDTO{}, err
		}
		dto.Exceptions = append(dto.Exceptions, ex)
	}
	return dto, nil
}

func configFromDTO(dto configDTO) (model.Config, error) {
	services, err := mapSlice(dto.Services, serviceFromDTO)
	if err != nil {
		return model.Config{}, err
	}
	exceptions, err := mapSlice(dto.Exceptions, exceptionFromDTO)
	if err != nil {
		return model.Config{}, err
	}
	routes := make([]model.Route, 0, len(dto.Routes))
	for _, r := range dto.Routes {
		routes = append(routes, routeFromDTO(r))
	}
	cfg := model.Config{
		Version:    dto.Version,
		Defaults:   defaultsFromDTO(dto.Defaults),
		Workspaces: dto.Workspaces.Workspaces,
		Keys:       dto.Keys.Keys,
		Services:   model.NewIndex(services, func(s model.Service) model.ServiceName { return s.Name }),
		Routes:     model.NewRoutes(routes),
		Exceptions: model.NewExceptions(exceptions),
		Seats:      dto.Seats,
		Controls:   dto.Controls,
		Revision:   dto.Revision,
		Document:   dto.Document,
		Priorities: model.NewIndex(prioritiesFromDTO(dto.Priorities), func(p model.WorkspacePriority) model.WorkspaceID { return p.Workspace }),
		Evacuated:  dto.Evacuated,
	}
	return cfg, checkDuplicates(cfg, dto)
}

// checkDuplicates refuses lists of services and exceptions that have two entries
// with the same name, of which only one would be in the configuration.
func checkDuplicates(cfg model.Config, dto configDTO) error {
	switch {
	case cfg.Services.Len() != len(dto.Services):
		return malformed("configuration", "a service is listed twice")
	case cfg.Exceptions.Len() != len(dto.Exceptions):
		return malformed("configuration", "an exception is listed twice")
	case cfg.Priorities.Len() != len(dto.Priorities):
		return malformed("configuration", "a priority is listed twice")
	case !slices.IsSorted(dto.Evacuated):
		return malformed("configuration", "the evacuated zones are not in order")
	default:
		return nil
	}
}

func defaultsToDTO(d model.Defaults) (defaultsDTO, error) {
	err := checkFinite("defaults", d.Limits.Rate, d.Limits.Burst, d.RetryShare, d.Floor, d.Objective.Availability, d.Objective.LatencyShare)
	return defaultsDTO{
		Limits:      limitsDTO(d.Limits),
		Deadline:    d.Deadline,
		RetryShare:  d.RetryShare,
		Floor:       d.Floor,
		Slots:       d.Slots,
		Connections: d.Connections,
		QueueLimit:  d.QueueLimit,
		Objective:   objectiveDTO(d.Objective),
	}, err
}

func defaultsFromDTO(d defaultsDTO) model.Defaults {
	return model.Defaults{
		Limits:      model.Limits(d.Limits),
		Deadline:    d.Deadline,
		RetryShare:  d.RetryShare,
		Floor:       d.Floor,
		Slots:       d.Slots,
		Connections: d.Connections,
		QueueLimit:  d.QueueLimit,
		Objective:   model.Objective(d.Objective),
	}
}

func keyToDTO(k model.Key) keyDTO {
	return keyDTO{ID: k.ID, Workspace: k.Workspace, Hash: k.Hash[:]}
}

func keyFromDTO(k keyDTO) (model.Key, error) {
	hash, err := decodeDigest[model.KeyHash]("key", k.Hash)
	return model.Key{ID: k.ID, Workspace: k.Workspace, Hash: hash}, err
}

func serviceToDTO(s model.Service) (serviceDTO, error) {
	return serviceDTO{
		Name: s.Name, AnnounceHash: s.AnnounceHash[:], HealthPath: s.HealthPath, Connections: s.Connections,
		ColdStart: s.ColdStart, WarmupRate: s.WarmupRate,
	}, checkFinite("service", s.WarmupRate)
}

func prioritiesFromDTO(list []priorityDTO) []model.WorkspacePriority {
	var out []model.WorkspacePriority
	for _, p := range list {
		out = append(out, model.WorkspacePriority(p))
	}
	return out
}

func serviceFromDTO(s serviceDTO) (model.Service, error) {
	hash, err := decodeDigest[model.KeyHash]("service", s.AnnounceHash)
	return model.Service{
		Name: s.Name, AnnounceHash: hash, HealthPath: s.HealthPath, Connections: s.Connections,
		ColdStart: s.ColdStart, WarmupRate: s.WarmupRate,
	}, err
}

func exceptionToDTO(e model.Exception) (exceptionDTO, error) {
	dto := exceptionDTO{ID: e.ID, Reason: e.Reason}
	switch o := e.Override.(type) {
	case model.LimitsOverride:
		dto.Limits = &limitsOverrideDTO{Workspace: o.Workspace, Limits: limitsDTO(o.Limits)}
		return dto, checkFinite("exception", o.Limits.Rate, o.Limits.Burst)
	case model.DeadlineOverride:
		dto.Deadline = &deadlineOverrideDTO{Route: o.Route, Deadline: o.Deadline}
	case model.FloorOverride:
		dto.Floor = &floorOverrideDTO{Service: o.Service, Floor: o.Floor}
		return dto, checkFinite("exception", o.Floor)
	case model.ObjectiveOverride:
		dto.Objective = &objectiveOverrideDTO{Service: o.Service, Objective: objectiveDTO(o.Objective)}
		return dto, checkFinite("exception", o.Objective.Availability, o.Objective.LatencyShare)
	}
	return dto, nil
}

func exceptionFromDTO(dto exceptionDTO) (model.Exception, error) {
	e := model.Exception{ID: dto.ID, Reason: dto.Reason}
	overrides := 0
	if o := dto.Limits; o != nil {
		e.Override = model.LimitsOverride{Workspace: o.Workspace, Limits: model.Limits(o.Limits)}
		overrides++
	}
	if o := dto.Deadline; o != nil {
		e.Override = model.DeadlineOverride{Route: o.Route, Deadline: o.Deadline}
		overrides++
	}
	if o := dto.Floor; o != nil {
		e.Override = model.FloorOverride{Service: o.Service, Floor: o.Floor}
		overrides++
	}
	if o := dto.Objective; o != nil {
		e.Override = model.ObjectiveOverride{Service: o.Service, Objective: model.Objective(o.Objective)}
		overrides++
	}
	if overrides > 1 {
		return model.Exception{}, malformed("exception", "%d overrides instead of one", overrides)
	}
	return e, nil
}
