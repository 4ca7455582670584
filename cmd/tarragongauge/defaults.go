package main

import (
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) defaultsCommand() *cobra.Command {
	return commandGroup("defaults", "Show and set the fleet-wide defaults", a.defaultsShow(), a.defaultsSet())
}

func (a *app) defaultsShow() *cobra.Command {
	return &cobra.Command{
		Use:   "show",
		Short: "Show the defaults",
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
			return a.show(output, opsapi.FromDefaults(cfg.Defaults), defaultsTable(cfg.Defaults))
		},
	}
}

// defaultsTable returns one row for each default.
func defaultsTable(d model.Defaults) *table {
	t := &table{header: []string{"DEFAULT", "VALUE"}}
	t.add("rate", d.Limits.Rate)
	t.add("burst", d.Limits.Burst)
	t.add("deadline", d.Deadline)
	t.add("retry_share", d.RetryShare)
	t.add("floor", d.Floor)
	t.add("slots", d.Slots)
	t.add("connections", d.Connections)
	t.add("queue_limit", d.QueueLimit)
	t.add("availability", d.Objective.Availability)
	t.add("latency", d.Objective.Latency)
	t.add("latency_share", d.Objective.LatencyShare)
	return t
}

func (a *app) defaultsSet() *cobra.Command {
	f := &changeFlags{}
	var want model.Defaults
	cmd := f.addTo(&cobra.Command{
		Use:     "set",
		Short:   "Set defaults; those without a flag stay as they are",
		Example: "  tarragongauge defaults set --rate 80 --burst 160 --reason 'sowing season' --diff",
		Args:    exactArgs(),
	})
	flags := cmd.Flags()
	addLimits(flags, &want.Limits)
	addObjective(flags, &want.Objective)
	flags.DurationVar(&want.Deadline, "deadline", 0, "time from the arrival of a request to the end of its answer")
	flags.Float64Var(&want.RetryShare, "retry-share", 0, "share of a service's requests that may be retried")
	flags.Float64Var(&want.Floor, "floor", 0, "share of a service's capacity that ejection never goes below")
	flags.IntVar(&want.Slots, "slots", 0, "requests a target runs at once unless it announces another number")
	flags.IntVar(&want.Connections, "connections", 0, "connections to one target over the whole fleet")
	flags.IntVar(&want.QueueLimit, "queue-limit", 0, "requests of one workspace that wait for slots of one service")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		return a.submitAndPrint(cmd, f, func(cfg model.Config) (model.Change, error) {
			return mergeDefaults(cmd.Flags(), cfg.Defaults, want)
		})
	}
	return cmd
}

// addLimits adds the flags for the limits of a workspace.
func addLimits(flags *pflag.FlagSet, l *model.Limits) {
	flags.Float64Var(&l.Rate, "rate", 0, "requests per second of a workspace over the whole fleet")
	flags.Float64Var(&l.Burst, "burst", 0, "requests of a workspace above its rate")
}

// addObjective adds the flags for the service level objective of a service.
func addObjective(flags *pflag.FlagSet, o *model.Objective) {
	flags.Float64Var(&o.Availability, "availability", 0, "share of requests that must succeed")
	flags.DurationVar(&o.Latency, "latency", 0, "bound that a share of the requests must meet")
	flags.Float64Var(&o.LatencyShare, "latency-share", 0, "share of requests that must meet the latency")
}

// mergeDefaults returns a change that replaces those values of current whose
// flags are given by the values of want.
func mergeDefaults(flags *pflag.FlagSet, current, want model.Defaults) (model.Change, error) {
	set := map[string]func(){
		"rate":          func() { current.Limits.Rate = want.Limits.Rate },
		"burst":         func() { current.Limits.Burst = want.Limits.Burst },
		"deadline":      func() { current.Deadline = want.Deadline },
		"retry-share":   func() { current.RetryShare = want.RetryShare },
		"floor":         func() { current.Floor = want.Floor },
		"slots":         func() { current.Slots = want.Slots },
		"connections":   func() { current.Connections = want.Connections },
		"queue-limit":   func() { current.QueueLimit = want.QueueLimit },
		"availability":  func() { current.Objective.Availability = want.Objective.Availability },
		"latency":       func() { current.Objective.Latency = want.Objective.Latency },
		"latency-share": func() { current.Objective.LatencyShare = want.Objective.LatencyShare },
	}
	changed := 0
	flags.Visit(func(flag *pflag.Flag) {
		if apply, ok := set[flag.Name]; ok {
			apply()
			changed++
		}
	})
	if changed == 0 {
		return nil, usageError("no default is given; give at least one, such as --rate 80")
	}
	return model.SetDefaults{Defaults: current}, current.Check()
}
