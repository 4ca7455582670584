package main

import (
	"bytes"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

func (a *app) loadCommand() *cobra.Command {
	o := loadOptions{}
	keyFile, bodyFile := "", ""
	cmd := &cobra.Command{
		Use:     "load URL",
		Short:   "Offer load at a fixed rate and report latencies",
		Long:    "Offer load at a fixed rate, whether or not earlier requests were answered, and report latencies from the time each request was due.",
		Example: "  tarragongauge load http://127.0.0.1:8080/stock/kerrs-pink --rate 200 --duration 30s --key-file till.key",
		Args:    exactArgs("URL"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if a.procs.load == nil {
				return errNotIncluded("the load generator")
			}
			if o.Rate <= 0 || o.Duration <= 0 {
				return usageError("--rate is %g and --duration %s; give values greater than 0", o.Rate, o.Duration)
			}
			o.URL, o.Output = args[0], a.output
			if o.Output == "" {
				o.Output = "text"
			}
			if err := checkOutput(o.Output, "text", "json"); err != nil {
				return err
			}
			key, err := readOptionalFile(keyFile)
			if err != nil {
				return err
			}
			o.Key = string(bytes.TrimSpace(key))
			if o.Body, err = readOptionalFile(bodyFile); err != nil {
				return err
			}
			return a.procs.load(cmd.Context(), o, a.out)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&o.Method, "method", "GET", "HTTP method")
	flags.Float64Var(&o.Rate, "rate", 100, "requests per second")
	flags.DurationVar(&o.Duration, "duration", 10*time.Second, "time to offer load")
	flags.DurationVar(&o.Timeout, "timeout", 5*time.Second, "time after which a request counts as failed")
	flags.BoolVar(&o.OrderKeys, "order-keys", false, "send a new Idempotency-Key with each request")
	flags.StringVar(&keyFile, "key-file", "", "file with the key to present")
	flags.StringVar(&bodyFile, "body-file", "", "file with the body of each request")
	return cmd
}

// readOptionalFile reads a file. An empty path gives nil.
func readOptionalFile(path string) ([]byte, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	return data, eris.Wrap(err, "read file for the request")
}
