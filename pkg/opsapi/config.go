package opsapi

import (
	"encoding/hex"
	"fmt"
	"time"

	"tarragongauge.example/tarragongauge/pkg/model"
)

// Duration is a time.Duration that is encoded in the format of Go, such as "1.5s".
type Duration time.Duration

// MarshalText returns the duration in the format of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is malformed; write it as in \"1.5s\" or \"200ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Hash is a SHA-256 digest that is encoded in 64 hexadecimal digits.
type Hash [32]byte

// MarshalText returns the digest in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(h[:])), nil }

// UnmarshalText parses a digest of 64 hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) error {
	data, err := hex.DecodeString(string(text))
	if err != nil || len(data) != len(h) {
		return fmt.Errorf("digest of %d characters is malformed; write 64 hexadecimal digits", len(text))
	}
	copy(h[:], data)
	return nil
}

// Limits is the JSON form of model.Limits.
type Limits struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Objective is the JSON form of model.Objective.
type Objective struct {
	Availability float64  `json:"availability"`
	Latency      Duration `json:"latency"`
	LatencyShare float64  `json:"latency_share"`
}

// Defaults is the JSON form of model.Defaults.
type Defaults struct {
	Limits      Limits    `json:"limits"`
	Deadline    Duration  `json:"deadline"`
	RetryShare  float64   `json:"retry_share"`
	Floor       float64   `json:"floor"`
	Slots       int       `json:"slots"`
	Connections int       `json:"connections"`
	QueueLimit  int       `json:"queue_limit"`
	Objective   Objective `json:"objective"`
}

// Workspace is the JSON form of model.Workspace.
type Workspace struct {
	ID          string `json:"id"`
	Withdrawn   bool   `json:"withdrawn,omitempty"`
	WithdrawnAt uint64 `json:"withdrawn_at,omitempty"`
}

// WorkspacePriority is the JSON form of model.WorkspacePriority and of
// model.SetWorkspacePriority, which removes the priority if it is null.
type WorkspacePriority struct {
	Workspace string `json:"workspace"`
	Priority  *int   `json:"priority"`
}

// Key is the JSON form of model.Key. The secret itself is never part of the API.
type Key struct {
	ID        string `json:"id"`
	Workspace string `json:"workspace"`
	Hash      Hash   `json:"hash"`
}

// Service is the JSON form of model.Service.
type Service struct {
	Name         string   `json:"name"`
	AnnounceHash Hash     `json:"announce_hash"`
	HealthPath   string   `json:"health_path,omitempty"`
	Connections  int      `json:"connections,omitempty"`
	ColdStart    Duration `json:"cold_start,omitzero"`
	WarmupRate   float64  `json:"warmup_rate,omitempty"`
}

// Share is the JSON form of model.Share.
type Share struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Route is the JSON form of model.Route.
type Route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host,omitempty"`
	PathPrefix      string   `json:"path_prefix"`
	Methods         []string `json:"methods,omitempty"`
	Service         string   `json:"service"`
	Split           []Share  `json:"split,omitempty"`
	Open            bool     `json:"open,omitempty"`
	Idempotent      bool     `json:"idempotent,omitempty"`
	RequireOrderKey bool     `json:"require_order_key,omitempty"`
	Attempts        int      `json:"attempts,omitempty"`
	Timeout         Duration `json:"timeout,omitzero"`
	Objective       Duration `json:"objective,omitzero"`
	Priority        int      `json:"priority,omitempty"`
}

// Exception is the JSON form of model.Exception. Exactly one override is set:
// limits with a workspace, deadline with a route, floor or objective with a
// service.
type Exception struct {
	ID        string     `json:"id"`
	Reason    string     `json:"reason"`
	Workspace string     `json:"workspace,omitempty"`
	Route     string     `json:"route,omitempty"`
	Service   string     `json:"service,omitempty"`
	Limits    *Limits    `json:"limits,omitempty"`
	Deadline  *Duration  `json:"deadline,omitempty"`
	Floor     *float64   `json:"floor,omitempty"`
	Objective *Objective `json:"objective,omitempty"`
}

// Config is the JSON form of model.Config. Keys are sorted by workspace and name,
// routes by precedence, and the other lists of items by name.
type Config struct {
	Version    uint64              `json:"version"`
	Defaults   Defaults            `json:"defaults"`
	Workspaces []Workspace         `json:"workspaces"`
	Keys       []Key               `json:"keys"`
	Services   []Service           `json:"services"`
	Routes     []Route             `json:"routes"`
	Exceptions []Exception         `json:"exceptions"`
	Priorities []WorkspacePriority `json:"priorities"`
	Evacuated  []string            `json:"evacuated"`
	Seats      []string            `json:"seats"`
	Controls   []string            `json:"controls"`
}

func fromObjective(o model.Objective) Objective {
	return Objective{Availability: o.Availability, Latency: Duration(o.Latency), LatencyShare: o.LatencyShare}
}

func (o Objective) model() model.Objective {
	return model.Objective{Availability: o.Availability, Latency: time.Duration(o.Latency), LatencyShare: o.LatencyShare}
}

// FromDefaults returns the JSON form of defaults.
func FromDefaults(d model.Defaults) Defaults {
	return Defaults{
		Limits:      Limits(d.Limits),
		Deadline:    Duration(d.Deadline),
		RetryShare:  d.RetryShare,
		Floor:       d.Floor,
		Slots:       d.Slots,
		Connections: d.Connections,
		QueueLimit:  d.QueueLimit,
		Objective:   fromObjective(d.Objective),
	}
}

// Model returns the defaults as model.Defaults. Values are not checked.
func (d Defaults) Model() model.Defaults {
	return model.Defaults{
		Limits:      model.Limits(d.Limits),
		Deadline:    time.Duration(d.Deadline),
		RetryShare:  d.RetryShare,
		Floor:       d.Floor,
		Slots:       d.Slots,
		Connections: d.Connections,
		QueueLimit:  d.QueueLimit,
		Objective:   d.Objective.model(),
	}
}

func fromWorkspace(w model.Workspace) Workspace {
	return Workspace{ID: string(w.ID), Withdrawn: w.Withdrawn, WithdrawnAt: uint64(w.WithdrawnAt)}
}

func (w Workspace) model() model.Workspace {
	return model.Workspace{ID: model.WorkspaceID(w.ID), Withdrawn: w.Withdrawn, WithdrawnAt: model.Version(w.WithdrawnAt)}
}

func fromKey(k model.Key) Key {
	return Key{ID: string(k.ID), Workspace: string(k.Workspace), Hash: Hash(k.Hash)}
}

func (k Key) model() model.Key {
	return model.Key{ID: model.KeyID(k.ID), Workspace: model.WorkspaceID(k.Workspace), Hash: model.KeyHash(k.Hash)}
}

func fromService(s model.Service) Service {
	return Service{
		Name: string(s.Name), AnnounceHash: Hash(s.AnnounceHash), HealthPath: s.HealthPath, Connections: s.Connections,
		ColdStart: Duration(s.ColdStart), WarmupRate: s.WarmupRate,
	}
}

func (s Service) model() model.Service {
	return model.Service{
		Name: model.ServiceName(s.Name), AnnounceHash: model.KeyHash(s.AnnounceHash), HealthPath: s.HealthPath, Connections: s.Connections,
		ColdStart: time.Duration(s.ColdStart), WarmupRate: s.WarmupRate,
	}
}

func fromRoute(r model.Route) Route {
	return Route{
		Name:            string(r.Name),
		Host:            r.Host,
		PathPrefix:      r.PathPrefix,
		Methods:         r.Methods,
		Service:         string(r.Service),
		Split:           fromSplit(r.Split),
		Open:            r.Open,
		Idempotent:      r.Idempotent,
		RequireOrderKey: r.RequireOrderKey,
		Attempts:        r.Attempts,
		Timeout:         Duration(r.Timeout),
		Objective:       Duration(r.Objective),
		Priority:        r.Priority,
	}
}

func (r Route) model() model.Route {
	return model.Route{
		Name:            model.RouteName(r.Name),
		Host:            r.Host,
		PathPrefix:      r.PathPrefix,
		Methods:         r.Methods,
		Service:         model.ServiceName(r.Service),
		Split:           splitOf(r.Split),
		Open:            r.Open,
		Idempotent:      r.Idempotent,
		RequireOrderKey: r.RequireOrderKey,
		Attempts:        r.Attempts,
		Timeout:         time.Duration(r.Timeout),
		Objective:       time.Duration(r.Objective),
		Priority:        r.Priority,
	}
}

// fromSplit returns nil for a route without a split, as splitOf does.
func fromSplit(split []model.Share) []Share {
	if len(split) == 0 {
		return nil
	}
	return mapSlice(split, func(s model.Share) Share { return Share{Service: string(s.Service), Weight: s.Weight} })
}

func splitOf(split []Share) []model.Share {
	if len(split) == 0 {
		return nil
	}
	return mapSlice(split, func(s Share) model.Share { return model.Share{Service: model.ServiceName(s.Service), Weight: s.Weight} })
}

func fromException(e model.Exception) Exception {
	out := Exception{ID: e.ID, Reason: e.Reason}
	switch o := e.Override.(type) {
	case model.LimitsOverride:
		limits := Limits(o.Limits)
		out.Workspace, out.Limits = string(o.Workspace), &limits
	case model.DeadlineOverride:
		deadline := Duration(o.Deadline)
		out.Route, out.Deadline = string(o.Route), &deadline
	case model.FloorOverride:
		out.Service, out.Floor = string(o.Service), &o.Floor
	case model.ObjectiveOverride:
		objective := fromObjective(o.Objective)
		out.Service, out.Objective = string(o.Service), &objective
	}
	return out
}

// Model returns the exception as a model.Exception. It returns an error unless
// exactly one override and exactly one name is set.
func (e Exception) Model() (model.Exception, error) {
	var found []model.Override
	if e.Limits != nil {
		found = append(found, model.LimitsOverride{Workspace: model.WorkspaceID(e.Workspace), Limits: model.Limits(*e.Limits)})
	}
	if e.Deadline != nil {
		found = append(found, model.DeadlineOverride{Route: model.RouteName(e.Route), Deadline: time.Duration(*e.Deadline)})
	}
	if e.Floor != nil {
		found = append(found, model.FloorOverride{Service: model.ServiceName(e.Service), Floor: *e.Floor})
	}
	if e.Objective != nil {
		found = append(found, model.ObjectiveOverride{Service: model.ServiceName(e.Service), Objective: e.Objective.model()})
	}
	names := 0
	for _, name := range []string{e.Workspace, e.Route, e.Service} {
		if name != "" {
			names++
		}
	}
	if len(found) != 1 || names != 1 {
		return model.Exception{}, fmt.Errorf("exception %q has %d overrides for %d names; give one of limits with a workspace, deadline with a route, floor or objective with a service", e.ID, len(found), names)
	}
	return model.Exception{ID: e.ID, Reason: e.Reason, Override: found[0]}, nil
}
