package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) workspaceCommand() *cobra.Command {
	return commandGroup("workspace", "Create, withdraw and list workspaces", a.workspaceCreate(), a.workspaceWithdraw(), a.workspaceList())
}

func (a *app) workspaceCreate() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "create WORKSPACE",
		Short:   "Create a workspace",
		Example: "  tarragongauge workspace create shop-7 --reason 'new franchise in Bala'",
		Args:    exactArgs("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.CreateWorkspace{Workspace: model.WorkspaceID(args[0])}))
		},
	})
}

func (a *app) workspaceWithdraw() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "withdraw WORKSPACE",
		Short:   "Withdraw a workspace and all its keys for good",
		Long:    "Withdraw a workspace and all its keys for good. Its name cannot be used again. Its requests end within seconds; prove it with the silence command.",
		Example: "  tarragongauge workspace withdraw shop-7 --reason 'contract ended'\n  tarragongauge silence shop-7 --wait 10s",
		Args:    exactArgs("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.WithdrawWorkspace{Workspace: model.WorkspaceID(args[0])}))
		},
	})
}

func (a *app) workspaceList() *cobra.Command {
	return a.listCommand("List workspaces", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"WORKSPACE", "STATE", "KEYS"}}
		for _, w := range c.Workspaces {
			state := "active"
			if w.Withdrawn {
				state = "withdrawn"
			}
			keys := 0
			for _, k := range c.Keys {
				if k.Workspace == w.ID {
					keys++
				}
			}
			t.add(w.ID, state, keys)
		}
		return c.Workspaces, t
	})
}

// listCommand returns a command list that prints the part of the configuration
// that part returns, as JSON or as a table.
func (a *app) listCommand(short string, part func(opsapi.Config) (any, *table)) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  exactArgs(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, output, err := a.newClient()
			if err != nil {
				return err
			}
			cfg, err := c.Config(cmd.Context())
			if err != nil {
				return err
			}
			v, t := part(opsapi.FromConfig(cfg))
			return a.show(output, v, t)
		},
	}
}
