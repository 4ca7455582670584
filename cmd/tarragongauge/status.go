package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the hosts of the fleet",
		Example: "  tarragongauge status --output json",
		Args:    exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, output, err := a.newClient()
			if err != nil {
				return err
			}
			s, err := c.Status(cmd.Context())
			if err != nil {
				return err
			}
			return a.show(output, s, statusTable(s))
		},
	}
}

// statusTable returns one row for each host. Its notes show the control hosts,
// then for each service the targets as the service's owner sees them, the
// workspaces and the quarantined requests.
func statusTable(s opsapi.Status) *table {
	t := &table{header: []string{"HOST", "ROLE", "ZONE", "STATE", "VERSION", "FRESH FOR", "IN FLIGHT"}}
	var details []opsapi.EntryDetail
	for _, h := range s.Hosts {
		if h.Answered && h.Host == s.Leader {
			t.add(h.Host, h.Role, h.Zone, "leader", "-", "-", "-")
			continue
		}
		var d opsapi.EntryDetail
		if json.Unmarshal(h.Detail, &d) != nil || !h.Answered {
			t.add(h.Host, h.Role, h.Zone, "no answer", "-", "-", "-")
			continue
		}
		details = append(details, d)
		fresh := (time.Duration(d.FreshForMs) * time.Millisecond).String()
		t.add(h.Host, h.Role, h.Zone, hostState(d), fmt.Sprint(d.Version), fresh, fmt.Sprint(d.InFlight))
	}
	t.notes = append(t.notes, fmt.Sprintf("control: version %d, leader %s in term %d", s.Version, orUnknown(s.Leader), s.Term))
	if len(s.Evacuated) > 0 {
		t.notes = append(t.notes, "evacuated zones: "+strings.Join(s.Evacuated, ", "))
	}
	for _, d := range details {
		for _, service := range d.Services {
			t.notes = append(t.notes, serviceNotes(service)...)
		}
	}
	return t
}

// hostState returns the text of the column STATE for an entry host.
func hostState(d opsapi.EntryDetail) string {
	switch {
	case d.Draining:
		return "draining"
	case d.FreshForMs <= 0:
		return "not fresh"
	default:
		return "serving"
	}
}

// orUnknown returns s, or "unknown" if s is empty.
func orUnknown(s string) string {
	if s == "" {
		return "unknown"
	}
	return s
}

// serviceNotes returns the notes on a service, its targets, workspaces and
// quarantined requests.
func serviceNotes(s opsapi.ServiceDetail) []string {
	notes := []string{fmt.Sprintf("service %s: %d of %d slots healthy, floor %g", s.Service, s.HealthySlots, s.AnnouncedSlots, s.Floor)}
	notes[0] += fmt.Sprintf(", load variation %.2f, %d requests shed as full", s.LoadVariation, s.FullArrivals)
	for _, t := range s.Targets {
		notes = append(notes, "  "+targetNote(t))
	}
	for _, w := range s.Workspaces {
		notes = append(notes, fmt.Sprintf("  workspace %s: %d slots in use, %d requests waiting", w.Workspace, w.InUse, w.Waiting))
	}
	for _, q := range s.Quarantine {
		left := time.Duration(q.LeftMs) * time.Millisecond
		notes = append(notes, fmt.Sprintf("  quarantined: request %d of workspace %s for another %s", q.Fingerprint, q.Workspace, left.Round(time.Second)))
	}
	return notes
}

// targetNote returns the note on a target.
func targetNote(t opsapi.TargetDetail) string {
	note := fmt.Sprintf("target %s at %s in %s: %s, %d of %d slots in use", t.Target, t.Addr, t.Zone, t.State, t.InUse, t.Limit)
	if t.Stale {
		note += ", stopped announcing itself"
	}
	if t.Evacuated {
		note += ", zone evacuated"
	}
	if t.ColdMs > 0 {
		note += fmt.Sprintf(", cold for another %s", time.Duration(t.ColdMs)*time.Millisecond)
	}
	if t.Ejected {
		note += fmt.Sprintf(", ejected for another %s: %s", time.Duration(t.BackInMs)*time.Millisecond, t.Reason)
	}
	if t.KeptByFloor {
		note += ", fails but is kept by the floor: " + t.Reason
	}
	return note
}
