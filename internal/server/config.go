package server

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/config"
	"birchfork/internal/discovery"
	"birchfork/internal/engine"
	"birchfork/internal/settings"
)

// Limits are what the platform leaves us.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// memoryBytes is a share of the memory, in bytes.
func (l Limits) memoryBytes(fraction float64) int64 {
	return int64(float64(l.MemoryMB) * (1 << 20) * fraction)
}

// Config is all that a dispatcher is told at its start.
type Config struct {
	Path                                  string // of the file, to read it again
	Name, ListenAddress, DiscoveryAddress string
	AdminAddress                          string // the operators' door; empty: there is none
	Seed                                  uint64
	Limits                                Limits
	KnownEndpoints                        engine.EndpointList
	Settings                              dispatch.Settings
	Names                                 *settings.NameTable
	MaxOpen                               int
	Operator                              *config.OperatorConfig // nil: the operator wishes nothing
	Pushed                                bool                   // lists are sent to an agent on this machine, which answers at no cost
	Unsupported                           []string               // settings that sockets have no words for yet, a line each
	platform                              config.Platform
	raw                                   []byte // as it was read
	settingsDigest                        string // of the settings, where there is a group
}

// The limits where the configuration has none, and the least to work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64
)

// file is the configuration as it is written.
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

// Load reads a configuration file alone; admin, if not empty, is the operators' address in place of the file's. Its error names
// every fault, a line each.
func Load(path, adminAddress string) (*Config, error) {
	return LoadWithOperator(path, "", adminAddress)
}

// LoadWithOperator reads a configuration as Load does, and the operator's file beside it; an empty path is none.
func LoadWithOperator(path, operatorPath, adminAddress string) (*Config, error) {
	raw, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return assemble(raw, path, operatorPath, adminAddress)
}

func readFile(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return raw, nil
}

// assemble decodes what was read at path, and reads the operator's file beside it.
func assemble(raw []byte, path, operatorPath, adminAddress string) (*Config, error) {
	c, err := decode(raw, adminAddress)
	if err != nil {
		return nil, err
	}
	if c.Path = path; operatorPath == "" {
		return c, nil
	}
	_, clients, _ := c.descriptorBudget(1)
	c.platform = config.Platform{
		Name: c.Name, Settings: c.Settings, ClassNames: c.Names.ClassNames(), TenantNames: c.Names.TenantNames(), MaxClientConnections: clients, MemoryBytes: c.Limits.memoryBytes(1),
	}
	plan, err := config.Load(operatorPath, c.platform)
	if err != nil {
		return nil, err
	}
	c.Operator, c.Settings = plan, plan.Settings
	if plan.Group != nil {
		c.settingsDigest = settingsDigest(raw)
	}
	if plan.Group != nil && !groupsSupported {
		return nil, fmt.Errorf("%s: group: this build (tag lean) leaves groups of dispatchers out; one without the tag has them", operatorPath)
	}
	return c, nil
}

// CheckAvailable names by key each address to listen on that is in use, and a folder of the group that another process has or that is not
// ours: what a start finds, and Load cannot tell.
func (c *Config) CheckAvailable() error {
	var faults []error
	for _, target := range []struct{ key, address string }{{"listen", c.ListenAddress}, {"operator", c.AdminAddress}} {
		if target.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", target.address)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", target.key, err))
			continue
		}
		listener.Close()
	}
	return errors.Join(append(faults, c.checkGroupAvailable())...)
}

// defaultConnectTimeout is for a connection to come up where the settings do not say how long that may take.
const defaultConnectTimeout = time.Second

// group is the group that the operator's file names; nil where there is none.
func (c *Config) group() *config.Group {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Group
}

// maxDeadline is the longest deadline of a class.
func (c *Config) maxDeadline() (longest time.Duration) {
	for _, class := range c.Settings.Classes {
		longest = max(longest, time.Duration(class.Deadline)*time.Microsecond)
	}
	return longest
}

// maxDelivery is how long an attempt may take from its order until its last byte is there: to connect, and what a silent link holds
// back until the kernel gives it up, see givesUp.
func (c *Config) maxDelivery() time.Duration {
	connect := time.Duration(c.Settings.ConnectTimeout) * time.Microsecond
	if connect <= 0 {
		connect = defaultConnectTimeout
	}
	return connect + c.maxDeadline()
}

// warmUp is how long a worker may take to be warm.
func (c *Config) warmUp() time.Duration {
	return time.Duration(c.Settings.SlowStartWindow) * time.Microsecond
}

// maxAdminConns is how many connections the operators' door holds at the most; 0 where there is none.
func (c *Config) maxAdminConns() int {
	if c.AdminAddress == "" {
		return 0
	}
	return min(maxAdminConns, c.Limits.Sockets/adminConnsDivisor)
}

// descriptorBudget shares the descriptors out where so many processes of this dispatcher run: connections to workers, connections
// from clients up to which requests are taken, and up to which they may wait.
func (c *Config) descriptorBudget(processes int) (workers, clientsSoft, clientsHard int) {
	sockets := c.Limits.Sockets/processes - reservedSockets - c.Limits.Sockets/reservedSocketsDivisor/processes - c.maxAdminConns()/processes
	sockets = max(sockets, 3) // among many processes; one to a worker and two to clients, as 0 would be no limit
	workers = max(int(float64(sockets)*workerConnFraction), 1)
	return workers, int(float64(sockets-workers) * clientSoftFraction), sockets - workers
}

// Decode reads a configuration.
func Decode(raw []byte) (*Config, error) { return decode(raw, "") }

func decode(raw []byte, adminAddress string) (*Config, error) {
	f := file{Limits: Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("the configuration is not as described: %w", err)
	}
	c := &Config{
		Name: f.Name, ListenAddress: f.Listen, DiscoveryAddress: f.Discovery, AdminAddress: cmp.Or(adminAddress, f.Admin), Limits: f.Limits, Names: settings.NewNameTable(),
		raw: raw,
	}
	var faults []error
	addFault := func(format string, v ...any) { faults = append(faults, fmt.Errorf(format, v...)) }
	for _, entry := range []struct{ name, v string }{{"listen", c.ListenAddress}, {"discovery", c.DiscoveryAddress}, {"operator", c.AdminAddress}} {
		if !isHostPort(entry.v) && (entry.name != "operator" || entry.v != "") {
			addFault("%s: %q is not host:port", entry.name, entry.v)
		}
	}
	if c.AdminAddress != "" && c.AdminAddress == c.ListenAddress && !strings.HasSuffix(c.AdminAddress, ":0") {
		addFault("operator: %q is the address of listen; it needs one of its own", c.AdminAddress)
	}
	c.Seed = parseSeed(f.Seed, f.Name)
	if !(f.Limits.Cores > 0) {
		addFault("limits.cores: %v is not above 0", f.Limits.Cores)
	}
	if f.Limits.MemoryMB < minMemoryMB {
		addFault("limits.memory_mb: %d is less than %d", f.Limits.MemoryMB, minMemoryMB)
	}
	if f.Limits.Sockets < minSockets {
		addFault("limits.sockets: %d is less than %d", f.Limits.Sockets, minSockets)
	}
	if known := bytes.TrimSpace(f.Known); len(known) > 0 && !bytes.Equal(known, []byte("null")) {
		endpoints, malformed, err := discovery.DecodeList(known)
		if err != nil {
			addFault("known: %w", err)
		}
		if malformed > 0 {
			addFault("known: %d entries make no sense", malformed)
		}
		endpoints.Snapshot, endpoints.Stale = true, true
		c.KnownEndpoints = endpoints
	}
	if err := c.decodeSettings(f.Settings); err != nil {
		faults = append(faults, err)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return c, nil
}

// isHostPort tells whether v is host:port with a port of TCP's.
func isHostPort(v string) bool {
	_, port, err := net.SplitHostPort(v)
	if err != nil {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}

func (c *Config) decodeSettings(raw json.RawMessage) error {
	if len(raw) == 0 {
		return errors.New("settings: they are missing")
	}
	decoded, pairs, err := settings.DecodeJSON(raw, c.Names)
	if pairs == nil {
		return err
	}
	faults := checkCombinations(pairs)
	faults = errors.Join(faults, checkUniqueNames(pairs), checkRequiredNumbers(pairs))
	if err := errors.Join(pairs.Err(), faults); err != nil { // its part of err, and what checkShape alone has read
		return err
	}
	c.MaxOpen = pairs.Int("policy_limits.open_cap", 0)
	// The protocol has no words yet for notes between dispatchers and for load reports, and the list comes by a watch
	// that we hold ourselves. The module is told so, and asks for none of it.
	c.Unsupported = unsupportedSettings(pairs)
	c.Pushed = !decoded.EndpointsOnRequest
	decoded.PeerMessages, decoded.EndpointsOnRequest = false, false
	c.Settings = decoded
	_, err = dispatch.New(decoded, 0)
	return err
}

// parseSeed reads the seed, which is written in hexadecimal; any other text is as good a seed.
func parseSeed(text, name string) uint64 {
	if n, err := strconv.ParseUint(text, 16, 64); err == nil {
		return n
	}
	hash := fnv.New64a()
	hash.Write([]byte(name + "\x00" + text))
	return hash.Sum64()
}
