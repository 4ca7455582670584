package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/internal/trust"
	"tarragongauge.example/tarragongauge/pkg/client"
)

const (
	// settingsVariable is the environment variable with the path of the client settings.
	settingsVariable = "TARRAGONGAUGE_SETTINGS"
	// defaultSettingsPath is the default path of the client settings as the help shows it.
	defaultSettingsPath = "~/.config/tarragongauge/client.ini"
)

// newClient loads the client settings. It returns a client for the control hosts
// and the form of output, which is text, json or one of moreForms.
func (a *app) newClient(moreForms ...string) (*client.Client, string, error) {
	path, err := a.clientSettingsPath()
	if err != nil {
		return nil, "", err
	}
	c, err := conf.LoadClient(path)
	if err != nil {
		return nil, "", eris.Wrap(err, "client settings")
	}
	output := c.Output
	if a.output != "" {
		output = a.output
	}
	if err := checkOutput(output, append([]string{"text", "json"}, moreForms...)...); err != nil {
		return nil, "", err
	}
	var addrs []client.Address
	for _, p := range c.Addresses {
		addrs = append(addrs, client.Address(p))
	}
	opts := []client.Option{client.WithTimeout(c.Timeout)}
	if c.AuthorityFile != "" {
		authorities, err := trust.ReadAuthorities(c.AuthorityFile)
		if err != nil {
			return nil, "", err
		}
		opts = append(opts, client.WithTLS(trust.NewOperatorsClient(authorities, time.Now)))
	}
	cl, err := client.New(addrs, string(c.Token.Reveal()), opts...)
	return cl, output, err
}

// clientSettingsPath returns the path of the client settings from the flag
// --settings, the environment or the default.
func (a *app) clientSettingsPath() (string, error) {
	if a.settings != "" {
		return a.settings, nil
	}
	if path := os.Getenv(settingsVariable); path != "" {
		return path, nil
	}
	home, err := os.UserHomeDir()
	if err != nil {
		return "", eris.Wrap(err, "find client settings; give --settings")
	}
	return filepath.Join(home, ".config", "tarragongauge", "client.ini"), nil
}
