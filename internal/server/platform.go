package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"

	"birchfork/dispatch"
	"birchfork/internal/discovery"
	"birchfork/internal/settings"
)

// Default and minimum limits.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
)

// file is the JSON of the platform's configuration. The type's name is part of encoding/json's messages on values of a wrong type.
type file struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Admin     string          `json:"operator"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

// decode decodes a platform's configuration. The error lists all errors in it.
func decode(raw []byte, adminAddress string) (*Config, error) {
	f := file{Limits: Limits{Cores: defaultCores, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("malformed configuration: %w", err)
	}
	c := &Config{
		Name:             f.Name,
		ListenAddress:    f.Listen,
		DiscoveryAddress: f.Discovery,
		AdminAddress:     cmp.Or(adminAddress, f.Admin),
		Seed:             parseSeed(f.Seed, f.Name),
		Limits:           f.Limits,
		Names:            settings.NewNameTable(),
		raw:              raw,
	}
	errs := errors.Join(
		c.checkAddresses(),
		c.Limits.check(),
		c.decodeKnown(f.Known),
		c.decodeSettings(f.Settings),
	)
	if errs != nil {
		return nil, errs
	}
	return c, nil
}

// checkAddresses returns an error for each invalid address.
func (c *Config) checkAddresses() error {
	var errs []error
	check := func(key, address string) {
		if !isHostPort(address) {
			errs = append(errs, configError(key, "invalid address %q: must be host:port", address))
		}
	}
	check("listen", c.ListenAddress)
	check("discovery", c.DiscoveryAddress)
	if c.AdminAddress == "" {
		return errors.Join(errs...)
	}
	check("operator", c.AdminAddress)
	anyPort := strings.HasSuffix(c.AdminAddress, ":0")
	if c.AdminAddress == c.ListenAddress && !anyPort {
		errs = append(errs, configError("operator", "invalid address %q: must differ from the address of listen", c.AdminAddress))
	}
	return errors.Join(errs...)
}

// isHostPort reports whether address is host:port with a valid TCP port.
func isHostPort(address string) bool {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

// check returns an error for each limit below its minimum.
func (l Limits) check() error {
	var errs []error
	if !(l.Cores > 0) {
		errs = append(errs, configError("limits.cores", "invalid value %v: must be greater than 0", l.Cores))
	}
	if l.MemoryMB < minMemoryMB {
		errs = append(errs, configError("limits.memory_mb", "invalid value %d: must be at least %d", l.MemoryMB, minMemoryMB))
	}
	if l.Sockets < minSockets {
		errs = append(errs, configError("limits.sockets", "invalid value %d: must be at least %d", l.Sockets, minSockets))
	}
	return errors.Join(errs...)
}

// decodeKnown decodes the endpoint list of the platform's configuration, which is optional.
func (c *Config) decodeKnown(raw json.RawMessage) error {
	known := bytes.TrimSpace(raw)
	if len(known) == 0 || bytes.Equal(known, []byte("null")) {
		return nil
	}
	endpoints, malformed, err := discovery.DecodeList(known)
	if err != nil {
		return &ConfigError{Key: "known", Reason: err.Error(), Err: err}
	}
	if malformed > 0 {
		return configError("known", "malformed entries: got %d, none are allowed", malformed)
	}
	endpoints.Snapshot = true
	endpoints.Stale = true
	c.KnownEndpoints = endpoints
	return nil
}

// decodeSettings decodes the settings of the decision module. The returned error lists each error once: if several layers find
// the same one, it has this package's message.
func (c *Config) decodeSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return configError("settings", "missing required key")
	}
	decoded, pairs, err := settings.DecodeJSON(raw, c.Names)
	if pairs == nil {
		return err
	}
	errs := errors.Join(checkCombinations(pairs), checkUniqueNames(pairs), checkRequiredNumbers(pairs))
	// pairs.Err has the errors that DecodeJSON found, and those of values that only the checks have read.
	if err := errors.Join(pairs.Err(), errs); err != nil {
		return err
	}
	c.MaxOpen = pairs.Int("policy_limits.open_cap", 0)
	c.Unsupported = unsupportedSettings(pairs)
	c.EndpointsPushed = !decoded.EndpointsOnRequest
	// The protocol on sockets has neither messages between dispatchers nor load reports, and the endpoint list is watched outside of the
	// decision module. The decision module must therefore request none of these.
	decoded.PeerMessages = false
	decoded.EndpointsOnRequest = false
	c.Settings = decoded
	_, err = dispatch.New(decoded, 0)
	return err
}

// parseSeed parses a hexadecimal seed. Any other text is hashed together with the dispatcher's name.
func parseSeed(text, name string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	hash.Write([]byte(name + "\x00" + text))
	return hash.Sum64()
}
