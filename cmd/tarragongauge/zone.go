package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) zoneCommand() *cobra.Command {
	return commandGroup("zone", "Evacuate availability zones", a.zoneEvacuate(), a.zoneReturn(), a.zoneList())
}

func (a *app) zoneEvacuate() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "evacuate ZONE",
		Short:   "Send no more requests to the targets of a zone",
		Example: "  tarragongauge zone evacuate z2 --reason 'power maintenance'",
		Args:    exactArgs("ZONE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.EvacuateZone{Zone: model.ZoneName(args[0])}))
		},
	})
}

func (a *app) zoneReturn() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "return ZONE",
		Short:   "End the evacuation of a zone",
		Example: "  tarragongauge zone return z2",
		Args:    exactArgs("ZONE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.ReturnZone{Zone: model.ZoneName(args[0])}))
		},
	})
}

func (a *app) zoneList() *cobra.Command {
	return a.listCommand("List the evacuated zones", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"EVACUATED ZONE"}}
		for _, zone := range c.Evacuated {
			t.add(zone)
		}
		return c.Evacuated, t
	})
}
