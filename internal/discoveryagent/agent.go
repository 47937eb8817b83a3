// Package discoveryagent implements the discovery agent. It follows sources of workers, merges their lists into one and publishes it in
// discovery's protocol to the dispatchers on this machine. The agent is a separate process, since the etcd client would cost every
// dispatcher 10 MB of memory.
package discoveryagent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/endpointsource"
	"birchfork/internal/endpointsource/etcd"
	"birchfork/internal/endpointsource/file"
)

// Timeouts of the HTTP server.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = time.Minute
	shutdownTimeout   = time.Second
)

// Serve runs the agent until ctx ends. It calls ready with its address once it listens.
func Serve(ctx context.Context, c *Config, log logrus.FieldLogger, ready func(addr string)) error {
	ctx, stop := context.WithCancel(ctx)
	list := endpointsource.NewServer(endpointsource.Config{
		SourceCount:    len(c.Sources),
		FailoverDelay:  c.FailoverDelay,
		FailbackDelay:  c.FailbackDelay,
		EmptyListDelay: c.EmptyListDelay,
	})
	defer list.Close()
	var sources sync.WaitGroup
	defer sources.Wait()
	defer stop()
	for i := range c.Sources {
		run, err := newSource(&c.Sources[i], i, list, log)
		if err != nil {
			return fmt.Errorf("source %d: %w", i, err)
		}
		sources.Go(func() { run(ctx) })
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	return serveList(ctx, list, listener, ready)
}

// newSource returns a function that follows a source until its context ends, and then closes the connection to the source.
func newSource(s *Source, index int, list *endpointsource.Server, log logrus.FieldLogger) (run func(context.Context), err error) {
	onUpdate := func(update endpointsource.Update) { list.Update(index, update) }
	onLost := func() { list.MarkLost(index) }
	if s.Kind != KindEtcd {
		return (&file.Source{Path: s.Path, Log: log, OnUpdate: onUpdate, OnLost: onLost}).Run, nil
	}
	client, err := s.Client()
	if err != nil {
		return nil, err
	}
	source := &etcd.Source{Client: client, Prefix: s.Prefix, Log: log, OnUpdate: onUpdate, OnLost: onLost}
	return func(ctx context.Context) {
		source.Run(ctx)
		if err := client.Close(); err != nil {
			log.WithError(err).Debug("could not close the etcd client")
		}
	}, nil
}

// serveList serves the list over HTTP until ctx ends, which ends all watches.
func serveList(ctx context.Context, list *endpointsource.Server, listener net.Listener, ready func(addr string)) error {
	server := &http.Server{Handler: list, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	ready(listener.Addr().String())
	select {
	case err := <-served:
		return fmt.Errorf("serving: %w", err)
	case <-ctx.Done():
	}
	list.Close()
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdown); err != nil {
		_ = server.Close() // closes the connections that are still open after shutdownTimeout
	}
	return nil
}
