package main

import (
	"strings"

	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/pkg/model"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

func (a *app) routeCommand() *cobra.Command {
	return commandGroup("route", "Put, remove and list routes", a.routePut(), a.routeRemove(), a.routeList())
}

func (a *app) routePut() *cobra.Command {
	f := &changeFlags{}
	var r model.Route
	service := ""
	cmd := f.addTo(&cobra.Command{
		Use:   "put ROUTE",
		Short: "Add or replace a route",
		Example: "  tarragongauge route put stock --prefix /stock --methods GET --service stockbook --idempotent\n" +
			"  tarragongauge route put orders --prefix /orders --methods POST --service orderdesk --require-order-key --diff",
		Args: exactArgs("ROUTE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			r.Name, r.Service = model.RouteName(args[0]), model.ServiceName(service)
			if err := r.Check(); err != nil {
				return err
			}
			return a.submitAndPrint(cmd, f, fixedChange(model.PutRoute{Route: r}))
		},
	})
	flags := cmd.Flags()
	flags.StringVar(&r.PathPrefix, "prefix", "", "path prefix, matched at segment boundaries; the longest wins")
	flags.StringSliceVar(&r.Methods, "methods", nil, "HTTP methods (default: all)")
	flags.StringVar(&service, "service", "", "service that runs the requests")
	flags.BoolVar(&r.Open, "open", false, "requests need no key")
	flags.BoolVar(&r.Idempotent, "idempotent", false, "requests may be retried after they may have run")
	flags.BoolVar(&r.RequireOrderKey, "require-order-key", false, "refuse requests without an Idempotency-Key header")
	return cmd
}

func (a *app) routeRemove() *cobra.Command {
	f := &changeFlags{}
	return f.addTo(&cobra.Command{
		Use:     "remove ROUTE",
		Short:   "Remove a route and its exceptions",
		Example: "  tarragongauge route remove stock --dry-run",
		Args:    exactArgs("ROUTE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.submitAndPrint(cmd, f, fixedChange(model.RemoveRoute{Route: model.RouteName(args[0])}))
		},
	})
}

func (a *app) routeList() *cobra.Command {
	return a.listCommand("List routes by precedence", func(c opsapi.Config) (any, *table) {
		t := &table{header: []string{"ROUTE", "PREFIX", "METHODS", "SERVICE", "PROPERTIES"}}
		for _, r := range c.Routes {
			t.add(r.Name, r.PathPrefix, strings.Join(r.Methods, ","), r.Service, propertyNames(r))
		}
		return c.Routes, t
	})
}

// propertyNames returns the names of the properties that are set, separated by commas.
func propertyNames(r opsapi.Route) string {
	var all []string
	for _, p := range []struct {
		name string
		set  bool
	}{{"open", r.Open}, {"idempotent", r.Idempotent}, {"require_order_key", r.RequireOrderKey}} {
		if p.set {
			all = append(all, p.name)
		}
	}
	return strings.Join(all, ",")
}
