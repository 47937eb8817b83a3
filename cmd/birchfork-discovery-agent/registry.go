package main

import (
	clientv3 "go.etcd.io/etcd/client/v3"

	"birchfork/internal/discoveryagent"
)

// registry is the list of workers in etcd.
type registry struct {
	*clientv3.Client
	prefix string // of the workers' keys
}

// withRegistry calls f with the registry of the first etcd source in the agent's file, and closes the registry.
func (c *commands) withRegistry(f func(*registry) error) error {
	config, err := discoveryagent.Load(c.Config)
	if err != nil {
		return err
	}
	source, err := config.FirstEtcdSource()
	if err != nil {
		return err
	}
	client, err := source.Client()
	if err != nil {
		return err
	}
	defer func() { _ = client.Close() }() // only the error of f matters
	return f(&registry{client, source.Prefix})
}

// key returns the key of a worker.
func (r *registry) key(worker string) string { return r.prefix + worker }
