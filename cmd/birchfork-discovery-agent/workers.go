package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	clientv3 "go.etcd.io/etcd/client/v3"

	"birchfork/dispatch"
	"birchfork/internal/endpointsource/etcd"
)

type drain struct {
	Name string `arg:"" help:"The worker's name."`
}

// Run marks the worker as draining. It fails if the worker's key is changed concurrently.
func (d *drain) Run(ctx context.Context, c *commands, out output) error {
	return c.withRegistry(func(workers *registry) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := workers.drain(ctx, d.Name); err != nil {
			return err
		}
		_, err := fmt.Fprintln(out.stdout, d.Name, "drains")
		return err
	})
}

// drain marks a worker as draining and keeps its lease.
func (r *registry) drain(ctx context.Context, name string) error {
	key := r.key(name)
	response, err := r.Get(ctx, key)
	if err != nil {
		return err
	}
	if len(response.Kvs) == 0 {
		return r.notFound(name)
	}
	kv := response.Kvs[0]
	value, err := withDrainingState(kv.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	var options []clientv3.OpOption
	if kv.Lease != 0 {
		options = append(options, clientv3.WithLease(clientv3.LeaseID(kv.Lease)))
	}
	unchanged := clientv3.Compare(clientv3.ModRevision(key), "=", kv.ModRevision)
	committed, err := r.Txn(ctx).If(unchanged).Then(clientv3.OpPut(key, value, options...)).Commit()
	if err != nil {
		return err
	}
	if !committed.Succeeded {
		return fmt.Errorf("%s was changed concurrently: check its state and try again", name)
	}
	return nil
}

// withDrainingState returns a worker's value with its state set to draining. It does not decode the value as an etcd.Value, so that
// fields unknown to this build are kept.
func withDrainingState(raw []byte) (string, error) {
	var fields map[string]any
	if err := json.Unmarshal(raw, &fields); err != nil {
		return "", fmt.Errorf("malformed value: must be a JSON object: %w", err)
	}
	fields["state"] = etcd.StateDraining
	changed, err := json.Marshal(fields)
	return string(changed), err
}

// notFound returns the error for a worker that is not registered.
func (r *registry) notFound(name string) error {
	return fmt.Errorf("unknown worker %q: not registered under %s", name, r.prefix)
}

type remove struct {
	Name string `arg:"" help:"The worker's name."`
}

// Run removes the worker.
func (r *remove) Run(ctx context.Context, c *commands, out output) error {
	return c.withRegistry(func(workers *registry) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := workers.Delete(ctx, workers.key(r.Name))
		if err != nil {
			return err
		}
		if response.Deleted == 0 {
			return workers.notFound(r.Name)
		}
		_, err = fmt.Fprintln(out.stdout, r.Name, "was removed")
		return err
	})
}

type list struct{}

// Run prints one line per worker, sorted by name.
func (list) Run(ctx context.Context, c *commands, out output) error {
	return c.withRegistry(func(workers *registry) error {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		response, err := workers.Get(ctx, workers.prefix, clientv3.WithPrefix())
		if err != nil {
			return err
		}
		lines := make([]string, 0, len(response.Kvs))
		for _, kv := range response.Kvs {
			lines = append(lines, formatWorker(workers.name(kv.Key), kv.Value))
		}
		slices.Sort(lines)
		for _, line := range lines {
			fmt.Fprintln(out.stdout, line)
		}
		return nil
	})
}

// name returns the name of the worker that a key stands for, which is the key without the prefix.
func (r *registry) name(key []byte) string { return strings.TrimPrefix(string(key), r.prefix) }

// formatWorker formats a worker as a line of text.
func formatWorker(name string, raw []byte) string {
	endpoint, err := etcd.Decode(name, raw)
	if err != nil {
		return fmt.Sprintf("%-20s unusable: %v", name, err)
	}
	state := etcd.StateUp
	if endpoint.State != dispatch.Ready {
		state = etcd.StateDraining
	}
	return fmt.Sprintf("%-20s %-9s %-22s zone %q, kind %q", name, state, endpoint.Address, endpoint.Zone, endpoint.Kind)
}

type watch struct{}

// Run prints changes until ctx ends.
func (watch) Run(ctx context.Context, c *commands, out output) error {
	return c.withRegistry(func(workers *registry) error {
		responses := workers.Watch(clientv3.WithRequireLeader(ctx), workers.prefix, clientv3.WithPrefix())
		for response := range responses {
			if err := response.Err(); err != nil {
				return err
			}
			for _, event := range response.Events {
				fmt.Fprintln(out.stdout, workers.formatEvent(event))
			}
		}
		return nil
	})
}

// formatEvent formats a change of a worker as a line of text.
func (r *registry) formatEvent(event *clientv3.Event) string {
	name := r.name(event.Kv.Key)
	if event.Type == clientv3.EventTypeDelete {
		return fmt.Sprintf("%-20s left", name)
	}
	return formatWorker(name, event.Kv.Value)
}
