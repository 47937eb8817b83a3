package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	clientv3 "go.etcd.io/etcd/client/v3"

	"birchfork/internal/endpointsource/etcd"
)

// Timing of the registration of a worker.
const (
	callTimeout           = 5 * time.Second // for one call to etcd
	registerRetryInterval = time.Second
	minTTL                = time.Second
)

// errLeaseLost means that etcd has ended the lease of a worker, or that it could not be renewed in time.
var errLeaseLost = errors.New("lease lost")

type register struct {
	Name     string        `arg:"" help:"The worker's name."`
	Address  string        `arg:"" help:"Where it listens, host:port."`
	Zone     string        `help:"Its zone."`
	Kind     string        `help:"Its kind of machine."`
	Weight   float64       `help:"Its weight relative to other workers."`
	TTL      time.Duration `help:"Time to live of its lease; it leaves the list if it does not renew the lease for this long." default:"10s"`
	DrainFor time.Duration `help:"How long it stays listed as draining after SIGTERM." default:"5s"`
}

// Run registers the worker and keeps its lease until ctx ends. Then it marks the worker as draining, and removes it after the drain time.
func (r *register) Run(ctx context.Context, c *commands, out output) error {
	if r.TTL < minTTL || r.DrainFor < 0 {
		return errors.New("--ttl must be at least 1s, and --drain-for must not be negative")
	}
	return c.withRegistry(func(workers *registry) error {
		value := r.value(time.Now())
		raw, err := json.Marshal(value)
		if err != nil {
			return err
		}
		if _, err := etcd.Decode(r.Name, raw); err != nil {
			return fmt.Errorf("cannot register %s: %w", r.Name, err)
		}
		r.keepRegistered(ctx, workers, string(raw), out)
		value.State = etcd.StateDraining
		return r.leave(context.WithoutCancel(ctx), workers, value, out)
	})
}

// value returns the worker's value with its start time.
func (r *register) value(startedAt time.Time) etcd.Value {
	return etcd.Value{
		Version:         etcd.SchemaVersion,
		Address:         r.Address,
		Zone:            r.Zone,
		Kind:            r.Kind,
		Weight:          r.Weight,
		State:           etcd.StateUp,
		StartedAtMillis: startedAt.UnixMilli(),
	}
}

// keepRegistered keeps the worker registered until ctx ends. It registers it again whenever its lease is lost.
func (r *register) keepRegistered(ctx context.Context, workers *registry, value string, out output) {
	for ctx.Err() == nil {
		err := r.holdLease(ctx, workers, value, out)
		if err == nil || ctx.Err() != nil {
			continue
		}
		fmt.Fprintf(out.stderr, "%s: registering again: %v\n", programName, err)
		select {
		case <-time.After(registerRetryInterval):
		case <-ctx.Done():
		}
	}
}

// holdLease registers the worker under a lease and renews the lease until it is lost or ctx ends.
func (r *register) holdLease(ctx context.Context, workers *registry, value string, out output) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease, err := workers.Grant(call, int64(r.TTL/time.Second))
	if err != nil {
		return err
	}
	if _, err := workers.Put(call, workers.key(r.Name), value, clientv3.WithLease(lease.ID)); err != nil {
		return err
	}
	renewals, err := workers.KeepAlive(ctx, lease.ID)
	if err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, r.Name, "is registered")
	for renewed := true; renewed; {
		_, renewed = <-renewals
	}
	return errLeaseLost
}

// leave marks the worker as draining, waits for the drain time and removes it.
func (r *register) leave(ctx context.Context, workers *registry, draining etcd.Value, out output) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout+r.DrainFor)
	defer cancel()
	raw, err := json.Marshal(draining)
	if err != nil {
		return err
	}
	if _, err := workers.Put(ctx, workers.key(r.Name), string(raw)); err != nil {
		return fmt.Errorf("draining %s: %w", r.Name, err)
	}
	fmt.Fprintln(out.stdout, r.Name, "drains")
	time.Sleep(r.DrainFor)
	if _, err := workers.Delete(ctx, workers.key(r.Name)); err != nil {
		return fmt.Errorf("removing %s: %w", r.Name, err)
	}
	fmt.Fprintln(out.stdout, r.Name, "has left")
	return nil
}
