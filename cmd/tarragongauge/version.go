package main

import (
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildInfo is the JSON output of the command version.
type buildInfo struct {
	Version  string `json:"version"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// readBuildInfo returns the version and revision that the Go toolchain recorded in the binary.
func readBuildInfo() buildInfo {
	b := buildInfo{Version: "unknown"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}

func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the version of this program",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			b := readBuildInfo()
			t := &table{header: []string{"VERSION", "REVISION", "GO"}}
			t.add(b.Version, b.Revision, b.Go)
			return a.show(a.output, b, t)
		},
	}
}
