package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/config"
	"birchfork/internal/engine"
	"birchfork/internal/settings"
)

// Limits are the resources that the platform grants a dispatcher, over all its processes.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors
}

// memoryBytes returns a fraction of the memory in bytes.
func (l Limits) memoryBytes(fraction float64) int64 {
	return int64(float64(l.MemoryMB) * (1 << 20) * fraction)
}

// Config is the complete configuration of a dispatcher: the platform's configuration, restricted by the operator's file if there is one. It
// does not change after it is loaded.
type Config struct {
	Path             string // of the platform's file, for reloads
	Name             string // of the dispatcher
	ListenAddress    string // for clients
	DiscoveryAddress string
	AdminAddress     string // of the admin server; empty: there is none
	Seed             uint64 // of all random draws
	Limits           Limits
	KnownEndpoints   engine.EndpointList // endpoints to start with, until discovery has answered
	Settings         dispatch.Settings
	Names            *settings.NameTable    // of classes, tenants, zones and kinds of machines in Settings
	MaxOpen          int                    // open requests at a time; 0: no limit
	Operator         *config.OperatorConfig // nil: there is no operator's file
	EndpointsPushed  bool                   // endpoint lists are pushed to an agent on this machine, which answers at no cost
	Unsupported      []string               // one line for each setting that the protocol on sockets does not support yet

	raw            []byte // contents of the platform's file
	settingsDigest string // of the settings, for the other members of a group; empty if there is no group
}

// Load reads the platform's configuration at path. An adminAddress that is not empty replaces the file's. The returned error lists all errors
// in the file, one per line.
func Load(path, adminAddress string) (*Config, error) {
	return LoadWithOperator(path, "", adminAddress)
}

// LoadWithOperator reads a configuration as Load does, and the operator's file at operatorPath, unless that is empty.
func LoadWithOperator(path, operatorPath, adminAddress string) (*Config, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return assemble(raw, path, operatorPath, adminAddress)
}

// Decode decodes a platform's configuration. The returned error lists all errors in it, one per line.
func Decode(raw []byte) (*Config, error) { return decode(raw, "") }

// readFile reads the platform's file.
func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return raw, nil
}

// assemble decodes the contents of the platform's file at path, and applies the operator's file.
func assemble(raw []byte, path, operatorPath, adminAddress string) (*Config, error) {
	c, err := decode(raw, adminAddress)
	if err != nil {
		return nil, err
	}
	c.Path = path
	if operatorPath == "" {
		return c, nil
	}
	if err := c.applyOperatorFile(operatorPath); err != nil {
		return nil, err
	}
	return c, nil
}

// applyOperatorFile reads the operator's file and applies it. The file may restrict the settings.
func (c *Config) applyOperatorFile(path string) error {
	operator, err := config.Load(path, config.Platform{
		Name:                 c.Name,
		Settings:             c.Settings,
		ClassNames:           c.Names.ClassNames(),
		TenantNames:          c.Names.TenantNames(),
		MaxClientConnections: c.descriptorBudget(1).clientsSoft,
		MemoryBytes:          c.Limits.memoryBytes(1),
	})
	if err != nil {
		return err
	}
	c.Operator = operator
	c.Settings = operator.Settings
	if operator.Group == nil {
		return nil
	}
	if !groupsSupported {
		return fmt.Errorf("%s: group: not supported by this build (tag lean); use a build without the tag", path)
	}
	c.settingsDigest = settingsDigest(c.raw)
	return nil
}

// CheckAvailable checks whether a start with a valid configuration would fail at present. The error names the key of each address to listen
// on that is in use, and of a group's folder that is locked by another process or belongs to another member.
func (c *Config) CheckAvailable() error {
	return errors.Join(
		checkAddressFree("listen", c.ListenAddress),
		checkAddressFree("operator", c.AdminAddress),
		c.checkGroupAvailable(),
	)
}

// checkAddressFree returns an error if a process cannot listen at an address. An empty address is skipped.
func checkAddressFree(key, address string) error {
	if address == "" {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("%s: %w", key, err)
	}
	listener.Close()
	return nil
}

// group returns the group of the operator's file; nil if there is none.
func (c *Config) group() *config.Group {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Group
}

// defaultConnectTimeout is the time for a connection to be established if the settings have no connect timeout.
const defaultConnectTimeout = time.Second

// connectTimeout returns the limit on connecting to a worker; 0: no limit.
func (c *Config) connectTimeout() time.Duration { return microseconds(c.Settings.ConnectTimeout) }

// maxDeadline returns the longest deadline of any class.
func (c *Config) maxDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, microseconds(class.Deadline))
	}
	return longest
}

// maxDelivery returns how long an attempt may take from the decision to send it until its last byte has arrived: the time to connect, and
// the time for which the kernel retransmits on a silent link before it gives up, see setSocketTimeouts.
func (c *Config) maxDelivery() time.Duration {
	connect := c.connectTimeout()
	if connect <= 0 {
		connect = defaultConnectTimeout
	}
	return connect + c.maxDeadline()
}

// warmUp returns how long a worker may take after its start to reach its full capacity.
func (c *Config) warmUp() time.Duration { return microseconds(c.Settings.SlowStartWindow) }

// microseconds converts a time of the decision module, which is in microseconds.
func microseconds(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }
