package main

import (
	"fmt"
	"os"
	"runtime/pprof"
	"strings"

	"github.com/sirupsen/logrus"

	"birchfork/internal/server"
)

type serve struct {
	Config   string `help:"The configuration, a JSON file." env:"EDGE_CONFIG" required:"" placeholder:"FILE"`
	Operator string `help:"The operator's own file, TOML." env:"BIRCHFORK_OPERATOR" placeholder:"FILE"`
	Admin    string `name:"operator-address" help:"The address of the admin server, host:port, in place of the configuration's." env:"EDGE_OPERATOR" placeholder:"ADDRESS"`
	LogLevel string `help:"Log level: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	Profile  string `name:"cpu-profile" help:"Write a CPU profile of the whole run to this file." placeholder:"FILE"`
}

// Run serves until SIGTERM. All errors in the configuration are returned as one error of a single line.
func (s *serve) Run(out output) error {
	config, err := server.LoadWithOperator(s.Config, s.Operator, s.Admin)
	if err != nil {
		return fmt.Errorf("%s: %s", s.Config, strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.stderr)
	log.SetLevel(level)
	if s.Profile != "" {
		profile, err := os.Create(s.Profile)
		if err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer profile.Close()
		if err := pprof.StartCPUProfile(profile); err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	return server.Run(config, log, nil)
}
