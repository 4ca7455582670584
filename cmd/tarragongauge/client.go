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
	settingsVariable = "TARRAGONGAUGE_SETTINGS"
	defaultSettings  = "~/.config/tarragongauge/client.ini"
)

// connect loads the client settings and returns a client and the form of
// output, text or json unless the command has more forms.
func (a *app) connect(moreForms ...string) (*client.Client, string, error) {
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
	if err := oneOf("output", output, append([]string{"text", "json"}, moreForms...)...); err != nil {
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
