// Package discoveryagent runs the agent: sources of workers, merged into one list, told to the dispatchers on this machine in
// discovery's own words. It is a process of its own, as etcd's client would cost every dispatcher 10 MB.
package discoveryagent

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"

	"birchfork/internal/endpointsource"
	"birchfork/internal/endpointsource/etcd"
	"birchfork/internal/endpointsource/file"
	"birchfork/internal/tomlfile"
)

// Config is the agent's file.
type Config struct {
	Listen     string        `toml:"listen"`
	ChangeOver time.Duration `toml:"change_over"`
	ChangeBack time.Duration `toml:"change_back"`
	EmptyGuard time.Duration `toml:"empty_guard"`
	Sources    []Source      `toml:"source"`
}

// Source is one source of workers, the preferred one first.
type Source struct {
	Kind         string   `toml:"kind"`
	Path         string   `toml:"path"`      // of a file
	Endpoints    []string `toml:"endpoints"` // of etcd
	Prefix       string   `toml:"prefix"`
	User         string   `toml:"user"`
	PasswordFile string   `toml:"password_file"`
	CA           string   `toml:"ca"`
	Cert         string   `toml:"cert"`
	Key          string   `toml:"key"`
}

// The kinds of source.
const (
	KindEtcd = "etcd"
	KindFile = "file"
)

// Load reads the agent's file. Its error names every fault.
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

// Decode reads the agent's file.
func Decode(name string, raw []byte) (*Config, error) {
	c := &Config{Listen: "127.0.0.1:8500", ChangeOver: 10 * time.Second, ChangeBack: 10 * time.Second, EmptyGuard: 30 * time.Second}
	d := tomlfile.Read(name, raw, c)
	if len(d.Errors()) > 0 {
		return nil, d.Err()
	}
	if host, port, err := net.SplitHostPort(c.Listen); err != nil || port == "" || !loopback(host) {
		d.AddErrorf("listen", "%q is no host:port on this machine, such as 127.0.0.1:8500: the agent serves the dispatchers beside it", c.Listen)
	}
	for _, t := range []struct {
		key string
		v   time.Duration
	}{{"change_over", c.ChangeOver}, {"change_back", c.ChangeBack}, {"empty_guard", c.EmptyGuard}} {
		if t.v < 0 || t.v > time.Hour {
			d.AddErrorf(t.key, "%v is not from 0s to 1h", t.v)
		}
	}
	if len(c.Sources) == 0 {
		d.AddErrorf("source", "there is none: write one [[source]] at least")
	}
	for i, s := range c.Sources {
		at := fmt.Sprintf("source[%d].", i)
		switch s.Kind {
		case KindFile:
			if s.Path == "" {
				d.AddErrorf(at+"path", "a file source needs its path")
			}
		case KindEtcd:
			if len(s.Endpoints) == 0 {
				d.AddErrorf(at+"endpoints", "an etcd source needs one endpoint at least, host:port")
			}
			for k, e := range s.Endpoints {
				if _, port, err := net.SplitHostPort(e); err != nil || port == "" {
					d.AddErrorf(fmt.Sprintf("%sendpoints[%d]", at, k), "%q is not host:port", e)
				}
			}
			if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") || s.Prefix == "/" {
				d.AddErrorf(at+"prefix", "%q does not begin and end with /, such as /birchfork/workers/", s.Prefix)
			}
			if (s.User == "") != (s.PasswordFile == "") {
				d.AddErrorf(at+"user", "user and password_file go together")
			}
			if (s.Cert == "") != (s.Key == "") || s.Cert != "" && s.CA == "" {
				d.AddErrorf(at+"cert", "cert and key go together, with ca")
			}
		default:
			d.AddErrorf(at+"kind", "%q is neither %s nor %s", s.Kind, KindEtcd, KindFile)
		}
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func loopback(host string) bool {
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}

// Client connects to a source's etcd. Key files are read again with each connection.
func (s *Source) Client() (*clientv3.Client, error) {
	cfg := clientv3.Config{Endpoints: s.Endpoints, DialTimeout: 2 * time.Second, Logger: zap.NewNop(), MaxCallRecvMsgSize: 64 << 20, DialKeepAliveTime: 10 * time.Second, DialKeepAliveTimeout: 5 * time.Second}
	if s.User != "" {
		raw, err := os.ReadFile(s.PasswordFile)
		if err != nil {
			return nil, fmt.Errorf("the password of etcd's user: %w", err)
		}
		cfg.Username, cfg.Password = s.User, strings.TrimSpace(string(raw))
	}
	if s.CA != "" {
		pem, err := os.ReadFile(s.CA)
		if err != nil {
			return nil, fmt.Errorf("etcd's authority: %w", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("etcd's authority: %s holds no certificate", s.CA)
		}
		cfg.TLS = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
		if s.Cert != "" {
			cfg.TLS.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
				c, err := tls.LoadX509KeyPair(s.Cert, s.Key)
				return &c, err
			}
		}
	}
	c, err := clientv3.New(cfg)
	if err != nil {
		return nil, fmt.Errorf("connecting to etcd: %w", err)
	}
	return c, nil
}

// Etcd is the first etcd source of a configuration.
func (c *Config) Etcd() (*Source, error) {
	for i := range c.Sources {
		if c.Sources[i].Kind == KindEtcd {
			return &c.Sources[i], nil
		}
	}
	return nil, errors.New("the agent's file names no etcd source")
}

// Serve runs the agent until ctx ends; ready hears the address once it listens.
func Serve(ctx context.Context, c *Config, log logrus.FieldLogger, ready func(addr string)) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	front := endpointsource.NewFront(endpointsource.Config{
		Sources: len(c.Sources), ChangeOver: c.ChangeOver, ChangeBack: c.ChangeBack, EmptyGuard: c.EmptyGuard,
	})
	var sources sync.WaitGroup
	defer sources.Wait()
	defer stop()
	for i := range c.Sources {
		s := &c.Sources[i]
		tell, lost := func(n endpointsource.News) { front.Tell(i, n) }, func() { front.Lost(i) }
		run := (&file.Source{Path: s.Path, Log: log, Tell: tell, Lost: lost}).Run
		if s.Kind == KindEtcd {
			client, err := s.Client()
			if err != nil {
				return fmt.Errorf("source %d: %w", i, err)
			}
			defer client.Close()
			run = (&etcd.Source{Client: client, Prefix: s.Prefix, Log: log, Tell: tell, Lost: lost}).Run
		}
		sources.Add(1)
		go func() {
			defer sources.Done()
			run(ctx)
		}()
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	server := &http.Server{Handler: front, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	ready(l.Addr().String())
	select {
	case err := <-served:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	front.Close()
	quit, done := context.WithTimeout(context.Background(), time.Second)
	defer done()
	server.Shutdown(quit)
	server.Close()
	return nil
}
