package main

import (
	"cmp"
	"fmt"
	"math"
	"strconv"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) workspaceCommand() *cobra.Command {
	return commandGroup("workspace", "Create, rank, withdraw and list workspaces", a.workspaceCreate(), a.workspacePriority(), a.workspaceWithdraw(), a.workspaceList())
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

// noPriority is the argument that removes the priority of a workspace.
const noPriority = "none"

func (a *app) workspacePriority() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "priority WORKSPACE N|none",
		Short:   "Set how urgent the requests of a workspace are",
		Long:    fmt.Sprintf("Set how urgent the requests of a workspace are while targets are scarce: 0 is the most urgent. The priority of the route decides between workspaces of the same priority. A workspace without one has %d.", model.DefaultWorkspacePriority),
		Example: "  tarragongauge workspace priority shop-7 0 --reason 'planting week'\n  tarragongauge workspace priority shop-7 none --reason 'planting week is over'",
		Args:    exactArgs("WORKSPACE", "N|none"),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := model.SetWorkspacePriority{Workspace: model.WorkspaceID(args[0])}
			if args[1] != noPriority {
				priority, err := parsePriority(args[1])
				if err != nil {
					return err
				}
				change.Priority = &priority
			}
			return a.submitAndPrint(cmd, f, fixedChange(change))
		},
	})
}

// parsePriority returns the priority in an argument other than noPriority.
func parsePriority(arg string) (int, error) {
	n, err := strconv.ParseUint(arg, 10, 16)
	if err != nil {
		return 0, usageError("the priority is %q; give a number from 0, the most urgent, to %d, or %s", arg, math.MaxUint16, noPriority)
	}
	return int(n), nil
}

func (a *app) workspaceList() *cobra.Command {
	return a.listCommand("List workspaces", func(c opsapi.Config) (any, *table) {
		priorities := map[string]string{}
		for _, p := range c.Priorities {
			if p.Priority != nil {
				priorities[p.Workspace] = strconv.Itoa(*p.Priority)
			}
		}
		t := &table{header: []string{"WORKSPACE", "STATE", "KEYS", "PRIORITY"}}
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
			t.add(w.ID, state, keys, cmp.Or(priorities[w.ID], noPriority))
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
