package main

import (
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) workspaceCommand() *cobra.Command {
	return group("workspace", "Create, withdraw and list workspaces", a.workspaceCreate(), a.workspaceWithdraw(), a.workspaceList())
}

func (a *app) workspaceCreate() *cobra.Command {
	f := &changeFlags{}
	return f.add(&cobra.Command{
		Use:     "create WORKSPACE",
		Short:   "Create a workspace",
		Example: "  tarragongauge workspace create shop-7 --reason 'new franchise in Bala'",
		Args:    exactly("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd, f, fixed(model.CreateWorkspace{Workspace: model.WorkspaceID(args[0])}))
		},
	})
}

func (a *app) workspaceWithdraw() *cobra.Command {
	f := &changeFlags{}
	return f.add(&cobra.Command{
		Use:     "withdraw WORKSPACE",
		Short:   "Withdraw a workspace and all its keys for good",
		Long:    "Withdraw a workspace and all its keys for good. Its name cannot be used again. Its requests end within seconds; prove it with the silence command.",
		Example: "  tarragongauge workspace withdraw shop-7 --reason 'contract ended'\n  tarragongauge silence shop-7 --wait 10s",
		Args:    exactly("WORKSPACE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.change(cmd, f, fixed(model.WithdrawWorkspace{Workspace: model.WorkspaceID(args[0])}))
		},
	})
}

func (a *app) workspaceList() *cobra.Command {
	return a.listCommand("List workspaces", func(c opsapi.Config) (any, *table) {
		t := &table{head: []string{"WORKSPACE", "STATE", "KEYS"}}
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

// listCommand prints one part of the configuration.
func (a *app) listCommand(short string, part func(opsapi.Config) (any, *table)) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: short,
		Args:  exactly(),
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, output, err := a.connect()
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
