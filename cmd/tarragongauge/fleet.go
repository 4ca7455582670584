package main

import (
	"strings"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) fleetCommand() *cobra.Command {
	return commandGroup("fleet", "List and replace the seats and control hosts", a.fleetList(), a.fleetSeats(), a.fleetControls())
}

func (a *app) fleetList() *cobra.Command {
	return a.listCommand("List seats and control hosts", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"KIND", "HOSTS"}}
		t.add("seats", strings.Join(c.Seats, " "))
		t.add("controls", strings.Join(c.Controls, " "))
		return map[string][]string{"seats": c.Seats, "controls": c.Controls}, t
	})
}

func hostIDs(args []string) []model.HostID {
	hosts := make([]model.HostID, 0, len(args))
	for _, arg := range args {
		hosts = append(hosts, model.HostID(arg))
	}
	return hosts
}

func (a *app) fleetSeats() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "seats HOST...",
		Short:   "Replace the entry hosts that confirm versions and grant leases",
		Example: "  tarragongauge fleet seats entry-1 entry-2 entry-3 entry-4 entry-9 --diff",
		Args:    atLeastOneArg("HOST"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.SetSeats{Seats: hostIDs(args)}))
		},
	})
}

func (a *app) fleetControls() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "controls HOST...",
		Short:   "Add or remove one voting control host",
		Example: "  tarragongauge fleet controls control-1 control-2 control-3 control-4",
		Args:    atLeastOneArg("HOST"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.SetControls{Controls: hostIDs(args)}))
		},
	})
}
