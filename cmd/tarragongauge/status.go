package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show the hosts of the fleet",
		Example: "  tarragongauge status --output json",
		Args:    exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, output, err := a.connect()
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

func statusTable(s opsapi.Status) *table {
	t := &table{head: []string{"HOST", "ROLE", "ZONE", "STATE", "DETAIL"}}
	for _, h := range s.Hosts {
		state := "serving"
		switch {
		case !h.Answered:
			state = "no answer"
		case h.Draining:
			state = "draining"
		case h.Host == s.Leader:
			state = "leader"
		}
		t.add(h.Host, h.Role, h.Zone, state, string(h.Detail))
	}
	return t
}
