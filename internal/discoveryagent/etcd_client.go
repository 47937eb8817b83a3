package discoveryagent

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strings"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"
	"go.uber.org/zap"
)

// Timeouts and limits of a connection to etcd.
const (
	dialTimeout          = 2 * time.Second
	dialKeepAlive        = 10 * time.Second
	dialKeepAliveTimeout = 5 * time.Second
	maxEtcdMessageBytes  = 64 << 20
)

// Client connects to the source's etcd. The caller must close the client. The certificate and key files are read for each new connection.
func (s *Source) Client() (*clientv3.Client, error) {
	config := clientv3.Config{
		Endpoints:            s.Endpoints,
		DialTimeout:          dialTimeout,
		DialKeepAliveTime:    dialKeepAlive,
		DialKeepAliveTimeout: dialKeepAliveTimeout,
		MaxCallRecvMsgSize:   maxEtcdMessageBytes,
		Logger:               zap.NewNop(),
	}
	if s.User != "" {
		password, err := os.ReadFile(s.PasswordFile)
		if err != nil {
			return nil, fmt.Errorf("reading the password of the etcd user: %w", err)
		}
		config.Username = s.User
		config.Password = strings.TrimSpace(string(password))
	}
	if s.CA != "" {
		var err error
		if config.TLS, err = s.tlsConfig(); err != nil {
			return nil, fmt.Errorf("configuring TLS for etcd: %w", err)
		}
	}
	client, err := clientv3.New(config)
	if err != nil {
		return nil, fmt.Errorf("connecting to etcd: %w", err)
	}
	return client, nil
}

// tlsConfig returns the TLS configuration for the source's CA, certificate and key.
func (s *Source) tlsConfig() (*tls.Config, error) {
	pem, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, err
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("no certificate in %s", s.CA)
	}
	config := &tls.Config{RootCAs: authorities, MinVersion: tls.VersionTLS12}
	if s.Cert != "" {
		config.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			certificate, err := tls.LoadX509KeyPair(s.Cert, s.Key)
			return &certificate, err
		}
	}
	return config, nil
}
