package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"
)

// app holds the streams, processes and global flags that all commands share.
type app struct {
	in     io.Reader
	out    io.Writer
	errOut io.Writer
	procs  processes

	// settings is the path of the settings file given on the command line.
	settings string
	// output is the form of output given on the command line, or empty if none is.
	output string
}

// run runs the command line args, prints its error and returns its exit code.
func run(ctx context.Context, args []string, a app) exitCode {
	root := a.rootCommand()
	root.SetArgs(args)
	root.SetIn(a.in)
	root.SetOut(a.out)
	root.SetErr(a.errOut)
	err := root.ExecuteContext(ctx)
	if err != nil {
		_, _ = fmt.Fprintf(a.errOut, "tarragongauge: %v\n", err)
	}
	return exitCodeOf(err)
}

func (a *app) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "tarragongauge",
		Short:         "Proxy fleet for targets with gray failures",
		Long:          "tarragongauge runs the processes of a proxy fleet and the tools of its operators.\n\nOperators' tools read their settings from --settings, $" + settingsVariable + " or " + defaultSettingsPath + ".",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError("command %q does not exist; see %s --help", args[0], cmd.CommandPath())
			}
			return nil
		},
		RunE: func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.PersistentFlags().StringVar(&a.settings, "settings", "", "path of the settings file")
	root.PersistentFlags().StringVarP(&a.output, "output", "o", "", "form of the output: text or json (report burn: also html)")
	root.SetFlagErrorFunc(func(cmd *cobra.Command, err error) error {
		return usageError("%w; see %s --help", err, cmd.CommandPath())
	})
	root.AddCommand(
		a.controlCommand(), a.entryCommand(), a.journalCommand(), a.seatCommand(), a.allCommand(), a.targetCommand(), a.loadCommand(),
		a.workspaceCommand(), a.keyCommand(), a.serviceCommand(), a.routeCommand(), a.defaultsCommand(), a.exceptionCommand(),
		a.fleetCommand(), a.zoneCommand(), a.quarantineCommand(),
		a.historyCommand(), a.silenceCommand(), a.statusCommand(), a.reportCommand(), a.checkCommand(), a.versionCommand(),
		a.authorityCommand(), a.certificateCommand(),
		exitCodesTopic(),
	)
	return root
}

// commandGroup returns a command that only holds subcommands. Without one of them
// on the command line it fails.
func commandGroup(use, short string, subs ...*cobra.Command) *cobra.Command {
	names := make([]string, 0, len(subs))
	for _, s := range subs {
		names = append(names, s.Name())
	}
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ArbitraryArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			got := "nothing"
			if len(args) > 0 {
				got = args[0]
			}
			return usageError("%s got %s; give one of %s", cmd.CommandPath(), got, strings.Join(names, ", "))
		},
	}
	cmd.AddCommand(subs...)
	return cmd
}

// exactArgs returns a check for exactly one argument for each name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			want := "no arguments"
			if len(names) > 0 {
				want = strings.Join(names, " ")
			}
			return usageError("%s got %d arguments; give %s", cmd.CommandPath(), len(args), want)
		}
		return nil
	}
}

// atLeastOneArg returns a check for one or more arguments called name.
func atLeastOneArg(name string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return usageError("%s got no arguments; give one or more of %s", cmd.CommandPath(), name)
		}
		return nil
	}
}

// checkOutput returns an error if the value of --output is not allowed.
func checkOutput(got string, allowed ...string) error {
	if !slices.Contains(allowed, got) {
		return usageError("--output is %q; give one of %s", got, strings.Join(allowed, ", "))
	}
	return nil
}
