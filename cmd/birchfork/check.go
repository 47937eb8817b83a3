package main

import (
	"errors"
	"fmt"
	"strings"

	"birchfork/internal/server"
)

type check struct {
	Config   string `arg:"" help:"The configuration, a JSON file." env:"EDGE_CONFIG"`
	Operator string `help:"The operator's own file, TOML." env:"BIRCHFORK_OPERATOR" placeholder:"FILE"`
	Admin    string `name:"operator-address" help:"The address of the admin server, host:port, in place of the configuration's." env:"EDGE_OPERATOR" placeholder:"ADDRESS"`
	Explain  bool   `help:"Print the limits in force for each class and route, and where each comes from."`
	Free     bool   `help:"Also check that the listen addresses and the group's folder are free; a running dispatcher holds them."`
}

// Run prints every error, one per line.
func (c *check) Run(out output) error {
	config, err := server.LoadWithOperator(c.Config, c.Operator, c.Admin)
	if err != nil {
		fmt.Fprintln(out.stdout, err)
		return fmt.Errorf("%s is not fit to serve by", strings.TrimSuffix(c.Config+" with "+c.Operator, " with "))
	}
	if c.Explain && config.Operator == nil {
		return errors.New("--explain requires an operator's file: set --operator")
	}
	if c.Free {
		if err := config.CheckAvailable(); err != nil {
			fmt.Fprintln(out.stdout, err)
			return fmt.Errorf("%s cannot be started now", c.Config)
		}
	}
	fmt.Fprintf(out.stdout, "%s: good: %s on %s, %d classes, %d workers known\n",
		c.Config, config.Name, config.ListenAddress, len(config.Settings.Classes), len(config.KnownEndpoints.Endpoints))
	for _, u := range config.Unsupported {
		fmt.Fprintf(out.stdout, "%s: served without: %s\n", c.Config, u)
	}
	if config.Operator != nil {
		fmt.Fprintf(out.stdout, "%s: good: %d routes\n", c.Operator, config.Operator.Routes.Len())
	}
	if config.Operator != nil && config.Operator.Group != nil {
		g := config.Operator.Group
		fmt.Fprintf(out.stdout, "%s: good: group %s, %d members, plans %t, lease %v\n", c.Operator, g.Name, len(g.Members), g.MaintenancePlans, g.LeaseDuration)
	}
	if c.Explain {
		return config.Operator.Explain(out.stdout)
	}
	return nil
}
