package opsapi

// EntryDetail is what an entry host reports about itself.
type EntryDetail struct {
	Version    uint64          `json:"version"`
	FreshForMs int64           `json:"fresh_for_ms"`
	Draining   bool            `json:"draining"`
	InFlight   int             `json:"in_flight"`
	Services   []ServiceDetail `json:"owned_services"`
}

// ServiceDetail is a service as its owner sees it; slots are counted over all hosts.
type ServiceDetail struct {
	Service        string             `json:"service"`
	Epoch          uint64             `json:"epoch"`
	AnnouncedSlots int                `json:"announced_slots"`
	HealthySlots   int                `json:"healthy_slots"`
	Floor          float64            `json:"floor"`
	Targets        []TargetDetail     `json:"targets"`
	Workspaces     []WorkspaceDetail  `json:"workspaces"`
	Quarantine     []QuarantineDetail `json:"quarantine"`
}

// TargetDetail is a target as the owner of its service sees it. Scores are 1 at the limit of ejection.
type TargetDetail struct {
	Target       string  `json:"target"`
	Addr         string  `json:"addr"`
	Zone         string  `json:"zone"`
	State        string  `json:"state"`
	Stale        bool    `json:"stale,omitempty"`
	Slots        int     `json:"slots"`
	Limit        int     `json:"slots_allowed_now"`
	InUse        int     `json:"slots_in_use"`
	Ejected      bool    `json:"ejected,omitempty"`
	KeptByFloor  bool    `json:"kept_by_floor,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	BackInMs     int64   `json:"back_in_ms,omitempty"`
	ErrorScore   float64 `json:"error_score"`
	LatencyScore float64 `json:"latency_score"`
}

// WorkspaceDetail is a workspace's use of a service.
type WorkspaceDetail struct {
	Workspace string `json:"workspace"`
	InUse     int    `json:"slots_in_use"`
	Waiting   int    `json:"waiting"`
}

// QuarantineDetail is a request that is refused because its like crashed targets twice.
type QuarantineDetail struct {
	Workspace   string `json:"workspace"`
	Fingerprint uint64 `json:"fingerprint"`
	LeftMs      int64  `json:"left_ms"`
}
