package main

import (
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) exceptionCommand() *cobra.Command {
	return commandGroup("exception", "Put, remove and list exceptions to the defaults", a.exceptionPut(), a.exceptionRemove(), a.exceptionList())
}

// exceptionFlags holds the flags that say what an exception applies to and which
// values it sets.
type exceptionFlags struct {
	workspace string
	route     string
	service   string
	limits    model.Limits
	deadline  time.Duration
	floor     float64
	objective model.Objective
}

func (a *app) exceptionPut() *cobra.Command {
	f := &changeFlags{}
	x := &exceptionFlags{}
	cmd := f.addTo(&cobra.Command{
		Use:   "put EXCEPTION --reason REASON",
		Short: "Add or replace an exception",
		Example: "  tarragongauge exception put market-day --workspace trader-3 --rate 200 --burst 400 --reason 'Saturday market'\n" +
			"  tarragongauge exception put slow-orders --route orders --deadline 20s --reason 'old ledger until June'\n" +
			"  tarragongauge exception put planner-floor --service planner --floor 0.9 --reason 'cold targets start slowly'\n" +
			"  tarragongauge exception put planner-slo --service planner --availability 0.99 --latency 2s --latency-share 0.95 --reason 'batch work'",
		Args: exactArgs("EXCEPTION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			e, err := x.exception(cmd.Flags(), args[0], f.reason)
			if err != nil {
				return err
			}
			return a.submitAndPrint(cmd, f, fixedChange(model.PutException{Exception: e}))
		},
	})
	flags := cmd.Flags()
	flags.StringVar(&x.workspace, "workspace", "", "workspace with other limits")
	flags.StringVar(&x.route, "route", "", "route with another deadline")
	flags.StringVar(&x.service, "service", "", "service with another floor or objective")
	flags.DurationVar(&x.deadline, "deadline", 0, "deadline of the route")
	flags.Float64Var(&x.floor, "floor", 0, "share of the service's capacity that ejection never goes below")
	addLimits(flags, &x.limits)
	addObjective(flags, &x.objective)
	return cmd
}

// exception returns the exception that the flags describe. Flags that describe
// none or more than one are an error.
func (x *exceptionFlags) exception(flags *pflag.FlagSet, id, reason string) (model.Exception, error) {
	body := opsapi.Exception{ID: id, Reason: reason, Workspace: x.workspace, Route: x.route, Service: x.service}
	if flags.Changed("rate") || flags.Changed("burst") {
		limits := opsapi.Limits(x.limits)
		body.Limits = &limits
	}
	if flags.Changed("deadline") {
		deadline := opsapi.Duration(x.deadline)
		body.Deadline = &deadline
	}
	if flags.Changed("floor") {
		body.Floor = &x.floor
	}
	if flags.Changed("availability") || flags.Changed("latency") || flags.Changed("latency-share") {
		body.Objective = &opsapi.Objective{Availability: x.objective.Availability, Latency: opsapi.Duration(x.objective.Latency), LatencyShare: x.objective.LatencyShare}
	}
	e, err := body.Model()
	if err != nil {
		return model.Exception{}, usageError("%w", err)
	}
	return e, e.Check()
}

func (a *app) exceptionRemove() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "remove EXCEPTION",
		Short:   "Remove an exception",
		Example: "  tarragongauge exception remove market-day",
		Args:    exactArgs("EXCEPTION"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.RemoveException{ID: args[0]}))
		},
	})
}

func (a *app) exceptionList() *cobra.Command {
	return a.listCommand("List exceptions with their reasons", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"EXCEPTION", "FOR", "REASON"}}
		for _, e := range c.Exceptions {
			t.add(e.ID, e.Workspace+e.Route+e.Service, e.Reason)
		}
		return c.Exceptions, t
	})
}
