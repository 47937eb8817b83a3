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
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/settings"
)

// Limits are what the platform leaves us.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// memory is a share of the memory, in bytes.
func (l Limits) memory(share float64) int64 { return int64(float64(l.MemoryMB) * (1 << 20) * share) }

// Config is all that a dispatcher is told at its start.
type Config struct {
	Path                    string // of the file, to read it again
	Name, Listen, Discovery string
	Admin                   string // the operators' door; empty: there is none
	Seed                    uint64
	Limits                  Limits
	Known                   engine.List
	Settings                dispatch.Settings
	Names                   *settings.Names
	MostOpen                int
	Operator                *config.Plan // nil: the operator wishes nothing
	Pushed                  bool         // lists are sent to an agent on this machine, which answers at no cost
	Unspoken                []string     // settings that sockets have no words for yet, a line each
	platform                config.Platform
	raw                     []byte // as it was read
	digest                  string // of the settings, where there is a group
}

// The limits where the configuration has none, and the least to work with.
const (
	defaultMemoryMB = 192
	defaultSockets  = 1024
	leastMemoryMB   = 32
	leastSockets    = 64
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
func Load(path, admin string) (*Config, error) {
	return LoadAll(path, "", admin)
}

// LoadAll reads a configuration as Load does, and the operator's file beside it; an empty path is none.
func LoadAll(path, operator, admin string) (*Config, error) {
	raw, err := read(path)
	if err != nil {
		return nil, err
	}
	return assemble(raw, path, operator, admin)
}

func read(path string) ([]byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	return raw, nil
}

// assemble decodes what was read at path, and reads the operator's file beside it.
func assemble(raw []byte, path, operator, admin string) (*Config, error) {
	c, err := decode(raw, admin)
	if err != nil {
		return nil, err
	}
	if c.Path = path; operator == "" {
		return c, nil
	}
	_, clients, _ := c.share(1)
	c.platform = config.Platform{
		Name: c.Name, Settings: c.Settings, Classes: c.Names.Classes(), Tenants: c.Names.Tenants(), Clients: clients, Memory: c.Limits.memory(1),
	}
	plan, err := config.Load(operator, c.platform)
	if err != nil {
		return nil, err
	}
	c.Operator, c.Settings = plan, plan.Settings
	if plan.Group != nil {
		c.digest = settingsDigest(raw)
	}
	if plan.Group != nil && !groupsLinked {
		return nil, fmt.Errorf("%s: group: this build (tag lean) leaves groups of dispatchers out; one without the tag has them", operator)
	}
	return c, nil
}

// Free names by key each address to listen on that is in use, and a folder of the group that another process has or that is not
// ours: what a start finds, and Load cannot tell.
func (c *Config) Free() error {
	var faults []error
	for _, a := range []struct{ key, address string }{{"listen", c.Listen}, {"operator", c.Admin}} {
		if a.address == "" {
			continue
		}
		l, err := net.Listen("tcp", a.address)
		if err != nil {
			faults = append(faults, fmt.Errorf("%s: %w", a.key, err))
			continue
		}
		l.Close()
	}
	return errors.Join(append(faults, c.free())...)
}

// connectSpare is for a connection to come up where the settings do not say how long that may take.
const connectSpare = time.Second

// group is the group that the operator's file names; nil where there is none.
func (c *Config) group() *config.Group {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Group
}

// longest is the longest deadline of a class.
func (c *Config) longest() (d time.Duration) {
	for _, k := range c.Settings.Classes {
		d = max(d, time.Duration(k.Deadline)*time.Microsecond)
	}
	return d
}

// arrive is how long an attempt may take from its order until its last byte is there: to connect, and what a silent link holds
// back until the kernel gives it up, see givesUp.
func (c *Config) arrive() time.Duration {
	connect := time.Duration(c.Settings.ConnectTimeout) * time.Microsecond
	if connect <= 0 {
		connect = connectSpare
	}
	return connect + c.longest()
}

// warm is how long a worker may take to be warm.
func (c *Config) warm() time.Duration { return time.Duration(c.Settings.WarmWithin) * time.Microsecond }

// doors is how many connections the operators' door holds at the most; 0 where there is none.
func (c *Config) doors() int {
	if c.Admin == "" {
		return 0
	}
	return min(doorMost, c.Limits.Sockets/doorPart)
}

// share shares the descriptors out where so many processes of this dispatcher run: connections to workers, connections
// from clients up to which requests are taken, and up to which they may wait.
func (c *Config) share(processes int) (runners, clients, hard int) {
	sockets := c.Limits.Sockets/processes - otherSockets - c.Limits.Sockets/otherPart/processes - c.doors()/processes
	sockets = max(sockets, 3) // among many processes; one to a worker and two to clients, as 0 would be no limit
	runners = max(int(float64(sockets)*runnerShare), 1)
	return runners, int(float64(sockets-runners) * clientReserve), sockets - runners
}

// Decode reads a configuration.
func Decode(raw []byte) (*Config, error) { return decode(raw, "") }

func decode(raw []byte, admin string) (*Config, error) {
	f := file{Limits: Limits{Cores: 1, MemoryMB: defaultMemoryMB, Sockets: defaultSockets}}
	if err := json.Unmarshal(raw, &f); err != nil {
		return nil, fmt.Errorf("the configuration is not as described: %w", err)
	}
	c := &Config{
		Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Admin: cmp.Or(admin, f.Admin), Limits: f.Limits, Names: settings.NewNames(),
		raw: raw,
	}
	var faults []error
	fault := func(format string, v ...any) { faults = append(faults, fmt.Errorf(format, v...)) }
	for _, a := range []struct{ name, v string }{{"listen", c.Listen}, {"discovery", c.Discovery}, {"operator", c.Admin}} {
		if !isAddress(a.v) && (a.name != "operator" || a.v != "") {
			fault("%s: %q is not host:port", a.name, a.v)
		}
	}
	if c.Admin != "" && c.Admin == c.Listen && !strings.HasSuffix(c.Admin, ":0") {
		fault("operator: %q is the address of listen; it needs one of its own", c.Admin)
	}
	c.Seed = seed(f.Seed, f.Name)
	if !(f.Limits.Cores > 0) {
		fault("limits.cores: %v is not above 0", f.Limits.Cores)
	}
	if f.Limits.MemoryMB < leastMemoryMB {
		fault("limits.memory_mb: %d is less than %d", f.Limits.MemoryMB, leastMemoryMB)
	}
	if f.Limits.Sockets < leastSockets {
		fault("limits.sockets: %d is less than %d", f.Limits.Sockets, leastSockets)
	}
	if known := bytes.TrimSpace(f.Known); len(known) > 0 && !bytes.Equal(known, []byte("null")) {
		l, bad, err := frontend.DecodeList(known)
		if err != nil {
			fault("known: %w", err)
		}
		if bad > 0 {
			fault("known: %d entries make no sense", bad)
		}
		l.Whole, l.Stale = true, true
		c.Known = l
	}
	if err := c.decodeSettings(f.Settings); err != nil {
		faults = append(faults, err)
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return c, nil
}

// isAddress tells whether v is host:port with a port of TCP's.
func isAddress(v string) bool {
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
	s, p, err := settings.DecodeJSON(raw, c.Names)
	if p == nil {
		return err
	}
	shape := checkShape(p)
	shape = errors.Join(shape, checkNames(p), checkFigures(p))
	if err := errors.Join(p.Err(), shape); err != nil { // its part of err, and what checkShape alone has read
		return err
	}
	c.MostOpen = p.Whole("policy_limits.open_cap", 0)
	// The protocol has no words yet for notes between dispatchers and for load reports, and the list comes by a watch
	// that we hold ourselves. The module is told so, and asks for none of it.
	c.Unspoken = unspoken(p)
	c.Pushed = !s.ListOnRequest
	s.CanTell, s.ListOnRequest = false, false
	c.Settings = s
	_, err = dispatch.New(s, 0)
	return err
}

// seed reads the seed, which is written in hexadecimal; any other text is as good a seed.
func seed(v, name string) uint64 {
	if n, err := strconv.ParseUint(v, 16, 64); err == nil {
		return n
	}
	h := fnv.New64a()
	h.Write([]byte(name + "\x00" + v))
	return h.Sum64()
}
