package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
)

func (a *app) quarantineCommand() *cobra.Command {
	return commandGroup("quarantine", "Clear requests that are refused because they crashed targets", &cobra.Command{
		Use:     "clear SERVICE WORKSPACE",
		Short:   "Let the quarantined requests of a workspace run again",
		Example: "  tarragongauge quarantine clear planner shop-7",
		Args:    exactArgs("SERVICE", "WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, _, err := a.newClient()
			if err != nil {
				return err
			}
			return c.ClearQuarantine(cmd.Context(), model.ServiceName(args[0]), model.WorkspaceID(args[1]))
		},
	})
}
