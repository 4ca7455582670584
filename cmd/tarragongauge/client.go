package main

import (
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"tarragongauge.example/tarragongauge/internal/conf"
	"tarragongauge.example/tarragongauge/pkg/client"
)

const (
	settingsVariable = "TARRAGONGAUGE_SETTINGS"
	defaultSettings  = "~/.config/tarragongauge/client.ini"
)

// connect loads the client settings and returns a client and the form of output.
func (a *app) connect() (*client.Client, string, error) {
	path, err := a.clientSettings()
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
	if err := oneOf("output", output, "text", "json", "html"); err != nil {
		return nil, "", err
	}
	var addrs []client.Address
	for _, p := range c.Addresses {
		addrs = append(addrs, client.Address(p))
	}
	cl, err := client.New(addrs, string(c.Token.Reveal()), client.WithTimeout(c.Timeout))
	return cl, output, err
}

func (a *app) clientSettings() (string, error) {
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
