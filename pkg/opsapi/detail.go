package opsapi

// EntryDetail is the report of an entry host about itself.
type EntryDetail struct {
	// Version is the version of the configuration that the host holds.
	Version uint64 `json:"version"`
	// FreshForMs is how long the host may still serve with its configuration, in
	// milliseconds. It is 0 or negative if the host may not serve.
	FreshForMs int64 `json:"fresh_for_ms"`
	Draining   bool  `json:"draining"`
	// InFlight is the number of requests with a key in flight on the host.
	InFlight int `json:"in_flight"`
	// Services are the services of the shards that the host owns.
	Services []ServiceDetail `json:"owned_services"`
}

// ServiceDetail is the state of a service as the owner of its shard sees it. Slots
// are counted over all hosts.
type ServiceDetail struct {
	Service string `json:"service"`
	// Epoch is the epoch of the owner.
	Epoch uint64 `json:"epoch"`
	// AnnouncedSlots is the number of slots of ready targets outside evacuated zones.
	AnnouncedSlots int `json:"announced_slots"`
	// HealthySlots is the number of announced slots of targets that are not ejected.
	HealthySlots int `json:"healthy_slots"`
	// Floor is the capacity floor, a share between 0 and 1.
	Floor float64 `json:"floor"`
	// LoadVariation is the coefficient of variation of the recent assignments per slot
	// over the targets in use: 0 if all get the same.
	LoadVariation float64 `json:"load_variation"`
	// FullArrivals is the number of requests that targets shed as full, since this host
	// owns the service.
	FullArrivals uint64 `json:"full_arrivals"`

	Targets    []TargetDetail     `json:"targets"`
	Workspaces []WorkspaceDetail  `json:"workspaces"`
	Quarantine []QuarantineDetail `json:"quarantine"`
}

// TargetDetail is the state of a target as the owner of its service sees it.
type TargetDetail struct {
	Target string `json:"target"`
	Addr   string `json:"addr"`
	Zone   string `json:"zone"`
	State  string `json:"state"`
	// Stale is true if the target has stopped announcing itself.
	Stale bool `json:"stale,omitempty"`
	// Slots is the announced number of slots.
	Slots int `json:"slots"`
	// Limit is the number of slots that may be in use now, which is lower than
	// Slots during a slow start.
	Limit int `json:"slots_allowed_now"`
	// InUse is the number of slots in use over all hosts.
	InUse   int  `json:"slots_in_use"`
	Ejected bool `json:"ejected,omitempty"`
	// KeptByFloor is true if the target fails but is not ejected because of the capacity floor.
	KeptByFloor bool `json:"kept_by_floor,omitempty"`
	// Evacuated is true while the target's zone is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Reason is the reason of the last ejection, including one that the floor prevented.
	Reason string `json:"reason,omitempty"`
	// BackInMs is the time until an ejected target is tried again, in milliseconds.
	BackInMs int64 `json:"back_in_ms,omitempty"`
	// ColdMs is how much longer the target is cold, in milliseconds.
	ColdMs int64 `json:"cold_ms,omitempty"`
	// ErrorScore and LatencyScore measure failures and slowness. A target is
	// ejected when one of them reaches 1, unless the floor prevents it.
	ErrorScore   float64 `json:"error_score"`
	LatencyScore float64 `json:"latency_score"`
}

// WorkspaceDetail is the use that a workspace makes of a service.
type WorkspaceDetail struct {
	Workspace string `json:"workspace"`
	// InUse is the number of slots in use.
	InUse int `json:"slots_in_use"`
	// Waiting is the number of requests that wait for a slot.
	Waiting int `json:"waiting"`
}

// QuarantineDetail identifies requests that are refused because requests with the
// same fingerprint crashed targets twice.
type QuarantineDetail struct {
	Workspace   string `json:"workspace"`
	Fingerprint uint64 `json:"fingerprint"`
	// LeftMs is the time until the requests are no longer refused, in milliseconds.
	LeftMs int64 `json:"left_ms"`
}
