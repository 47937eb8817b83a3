package discoveryagent

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"birchfork/internal/tomlfile"
)

// Config is the configuration of the agent.
type Config struct {
	Listen         string        `toml:"listen"`      // host:port on this machine
	FailoverDelay  time.Duration `toml:"change_over"` // see endpointsource.Config
	FailbackDelay  time.Duration `toml:"change_back"` // see endpointsource.Config
	EmptyListDelay time.Duration `toml:"empty_guard"` // see endpointsource.Config
	Sources        []Source      `toml:"source"`      // in order of preference
}

// Source is the configuration of one source of workers.
type Source struct {
	Kind         string   `toml:"kind"`      // KindEtcd or KindFile
	Path         string   `toml:"path"`      // of a file; the fields below are for etcd
	Endpoints    []string `toml:"endpoints"` // host:port
	Prefix       string   `toml:"prefix"`    // of the workers' keys
	User         string   `toml:"user"`
	PasswordFile string   `toml:"password_file"`
	CA           string   `toml:"ca"` // PEM file, as are Cert and Key
	Cert         string   `toml:"cert"`
	Key          string   `toml:"key"`
}

// The kinds of source.
const (
	KindEtcd = "etcd"
	KindFile = "file"
)

// Defaults and limits of the configuration.
const (
	defaultListen         = "127.0.0.1:8500"
	defaultFailoverDelay  = 10 * time.Second
	defaultFailbackDelay  = 10 * time.Second
	defaultEmptyListDelay = 30 * time.Second
	maxDelay              = time.Hour
)

// errNoEtcdSource is returned to commands that need etcd if no etcd source is configured.
var errNoEtcdSource = errors.New("no etcd source in the agent's file")

// Load reads the configuration from a file. Its error lists every error in the file.
func Load(path string) (*Config, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the agent's file: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, tomlfile.MaxSize+1))
	if err != nil {
		return nil, fmt.Errorf("reading the agent's file: %w", err)
	}
	return Decode(path, raw)
}

// Decode decodes the configuration. Its error lists every error in the file, with file name, line and key.
func Decode(name string, raw []byte) (*Config, error) {
	c := &Config{
		Listen:         defaultListen,
		FailoverDelay:  defaultFailoverDelay,
		FailbackDelay:  defaultFailbackDelay,
		EmptyListDelay: defaultEmptyListDelay,
	}
	document := tomlfile.Read(name, raw, c)
	if len(document.Errors()) > 0 {
		return nil, document.Err()
	}
	c.validate(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// validate adds the errors of the configuration to the document.
func (c *Config) validate(document *tomlfile.Document) {
	host, port, err := net.SplitHostPort(c.Listen)
	if err != nil || port == "" || !isLoopback(host) {
		document.AddErrorf("listen", "invalid address %q: must be a loopback host:port, such as 127.0.0.1:8500, since the agent serves only the dispatchers on its machine", c.Listen)
	}
	for _, delay := range []struct {
		key   string
		value time.Duration
	}{
		{"change_over", c.FailoverDelay},
		{"change_back", c.FailbackDelay},
		{"empty_guard", c.EmptyListDelay},
	} {
		if delay.value < 0 || delay.value > maxDelay {
			document.AddErrorf(delay.key, "invalid value %v: must be between 0s and 1h", delay.value)
		}
	}
	if len(c.Sources) == 0 {
		document.AddErrorf("source", "missing table: at least one [[source]] is required")
	}
	for i := range c.Sources {
		c.Sources[i].validate(document, fmt.Sprintf("source[%d].", i))
	}
}

// validate adds the errors of the source to the document. key is the prefix of its keys.
func (s *Source) validate(document *tomlfile.Document, key string) {
	switch s.Kind {
	case KindFile:
		if s.Path == "" {
			document.AddErrorf(key+"path", "missing value: a file source requires a path")
		}
	case KindEtcd:
		s.validateEtcd(document, key)
	default:
		document.AddErrorf(key+"kind", "invalid value %q: must be %s or %s", s.Kind, KindEtcd, KindFile)
	}
}

func (s *Source) validateEtcd(document *tomlfile.Document, key string) {
	if len(s.Endpoints) == 0 {
		document.AddErrorf(key+"endpoints", "missing value: an etcd source requires at least one endpoint, host:port")
	}
	for i, endpoint := range s.Endpoints {
		if _, port, err := net.SplitHostPort(endpoint); err != nil || port == "" {
			document.AddErrorf(fmt.Sprintf("%sendpoints[%d]", key, i), "invalid address %q: must be host:port", endpoint)
		}
	}
	isDirectory := strings.HasPrefix(s.Prefix, "/") && strings.HasSuffix(s.Prefix, "/")
	if !isDirectory || s.Prefix == "/" {
		document.AddErrorf(key+"prefix", "invalid value %q: must be a path below / that begins and ends with /, such as /birchfork/workers/", s.Prefix)
	}
	if (s.User == "") != (s.PasswordFile == "") {
		document.AddErrorf(key+"user", "user and password_file must be set together")
	}
	certWithoutKey := (s.Cert == "") != (s.Key == "")
	certWithoutCA := s.Cert != "" && s.CA == ""
	if certWithoutKey || certWithoutCA {
		document.AddErrorf(key+"cert", "cert and key must be set together, and require ca")
	}
}

func isLoopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// FirstEtcdSource returns the first etcd source of the configuration.
func (c *Config) FirstEtcdSource() (*Source, error) {
	for i := range c.Sources {
		if c.Sources[i].Kind == KindEtcd {
			return &c.Sources[i], nil
		}
	}
	return nil, errNoEtcdSource
}
