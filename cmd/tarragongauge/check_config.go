package main

import (
	"cmp"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tarragongauge.example/tarragongauge/internal/entry"
	"tarragongauge.example/tarragongauge/internal/lint"
	"tarragongauge.example/tarragongauge/pkg/opsapi"
)

// Exit codes of check config, which differ from those of the other commands.
const (
	exitConfigWarnings exitCode = 1
	exitConfigErrors   exitCode = 2
)

// configReport is the result of check config as JSON.
type configReport struct {
	File     string          `json:"file"`
	Findings []configFinding `json:"findings"`
	// Differences is null unless the configuration was compared with another.
	Differences []string `json:"differences"`

	// lines holds the findings as text.
	lines []string
}

// configFinding is the JSON form of lint.Finding.
type configFinding struct {
	Severity string `json:"severity"`
	Section  string `json:"section,omitempty"`
	Entry    string `json:"entry,omitempty"`
	Key      string `json:"key,omitempty"`
	Text     string `json:"text"`
}

func (a *app) checkConfigCommand() *cobra.Command {
	against, live := "", false
	var capacity []string
	cmd := &cobra.Command{
		Use:   "config FILE",
		Short: "Check a configuration before it is sent",
		Long: "Check a configuration in the JSON form of the operators' API (GET /v1/config) before it is sent: errors, entries that match nothing and limits that contradict each other. " +
			"Exit codes: 0 without findings, 1 with warnings, 2 with errors, also of the command line; 6 if --live finds no control host.",
		Example: "  tarragongauge check config next.json --against present.json\n" +
			"  tarragongauge check config next.json --live --capacity stockbook=400 --output json",
		Args: exactArgs("FILE"),
		RunE: func(cmd *cobra.Command, args []string) error {
			if against != "" && live {
				return usageError("give one of --against and --live")
			}
			output := cmp.Or(a.output, "text")
			if err := checkOutput(output, "text", "json"); err != nil {
				return err
			}
			opts, err := capacityOptions(capacity)
			if err != nil {
				return err
			}
			cfg, report, worst, err := checkConfigFile(args[0], opts)
			if err != nil {
				return err
			}
			if err := a.compareConfig(cmd, cfg, &report, against, live); err != nil {
				return err
			}
			if err := a.printConfigReport(report, output); err != nil {
				return err
			}
			return configError(worst, len(report.Findings))
		},
	}
	cmd.Flags().StringVar(&against, "against", "", "file of a configuration to compare with")
	cmd.Flags().BoolVar(&live, "live", false, "compare with the configuration in force")
	cmd.Flags().StringArrayVar(&capacity, "capacity", nil, "SERVICE=N: the targets of the service can handle N requests per second together (repeatable)")
	return cmd
}

// capacityOptions parses the values of --capacity.
func capacityOptions(list []string) ([]lint.Option, error) {
	opts := []lint.Option{lint.WithMaxAttempts(entry.DefaultLimits().MaxAttempts)}
	for _, text := range list {
		service, number, _ := strings.Cut(text, "=")
		perSecond, err := strconv.ParseFloat(number, 64)
		if err != nil || service == "" || !(perSecond > 0) {
			return nil, usageError("--capacity is %q; write a service and requests per second, such as stockbook=400", text)
		}
		opts = append(opts, lint.WithCapacity(service, perSecond))
	}
	return opts, nil
}

// checkConfigFile reads and checks the configuration in a file.
func checkConfigFile(path string, opts []lint.Option) (opsapi.Config, configReport, lint.Severity, error) {
	report := configReport{File: path, Findings: []configFinding{}}
	data, err := os.ReadFile(path)
	if err != nil {
		return opsapi.Config{}, report, 0, errExit{code: exitConfigErrors, cause: eris.Wrap(err, "read the configuration")}
	}
	cfg, findings := lint.Decode(data)
	if lint.Worst(findings) < lint.Error {
		// Entries that could not be read would be reported as missing.
		findings = append(findings, lint.Check(cfg, opts...)...)
	}
	for _, f := range findings {
		report.lines = append(report.lines, f.String())
		report.Findings = append(report.Findings, configFinding{Severity: f.Severity.String(), Section: f.Section, Entry: f.Entry, Key: f.Key, Text: f.Text})
	}
	return cfg, report, lint.Worst(findings), nil
}

// compareConfig adds the differences from another configuration to the report, if
// one is asked for.
func (a *app) compareConfig(cmd *cobra.Command, cfg opsapi.Config, report *configReport, against string, live bool) error {
	var before opsapi.Config
	switch {
	case live:
		c, _, err := a.newClient()
		if err != nil {
			return err
		}
		present, err := c.Config(cmd.Context())
		if err != nil {
			return err
		}
		before = opsapi.FromConfig(present)
	case against != "":
		data, err := os.ReadFile(against)
		if err != nil {
			return errExit{code: exitConfigErrors, cause: eris.Wrap(err, "read the configuration to compare with")}
		}
		var findings []lint.Finding
		if before, findings = lint.Decode(data); len(findings) > 0 {
			return errExit{code: exitConfigErrors, cause: eris.Errorf("%s: %s", against, findings[0])}
		}
	default:
		return nil
	}
	report.Differences = append([]string{}, diffConfigs(before, cfg)...)
	return nil
}

// printConfigReport prints the report as JSON or as lines of text.
func (a *app) printConfigReport(r configReport, output string) error {
	if output == "json" {
		return printJSON(a.out, r)
	}
	lines := make([]string, 0, len(r.lines)+len(r.Differences)+1)
	for _, line := range r.lines {
		lines = append(lines, r.File+": "+line)
	}
	if len(lines) == 0 {
		lines = append(lines, r.File+": ok")
	}
	_, err := fmt.Fprintln(a.out, strings.Join(append(lines, r.Differences...), "\n"))
	return eris.Wrap(err, "write output")
}

// configError returns the error with the exit code for the gravest finding.
func configError(worst lint.Severity, n int) error {
	switch worst {
	case lint.Error:
		return errExit{code: exitConfigErrors, cause: eris.Errorf("%d findings, with errors; the configuration would be refused", n)}
	case lint.Warning:
		return errExit{code: exitConfigWarnings, cause: eris.Errorf("%d warnings", n)}
	default:
		return nil
	}
}
