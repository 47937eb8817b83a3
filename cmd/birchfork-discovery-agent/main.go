// Command birchfork-members tells the dispatchers on this machine who the workers are, from etcd or a file, and lets
// workers register themselves. It is a program of its own, so that a dispatcher does not carry etcd's client.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"
	clientv3 "go.etcd.io/etcd/client/v3"

	"birchfork/dispatch"
	"birchfork/internal/discoveryagent"
	"birchfork/internal/endpointsource/etcd"
)

type commands struct {
	Config string `help:"The agent's file, TOML." default:"members.toml" placeholder:"FILE" env:"BIRCHFORK_MEMBERS"`

	Serve    serve    `cmd:"" help:"Follow the sources and tell dispatchers, until SIGTERM."`
	Check    check    `cmd:"" help:"Read the agent's file and name every fault in it."`
	Register register `cmd:"" help:"Register a worker in etcd and keep it there; on SIGTERM it drains, then leaves."`
	Drain    drain    `cmd:"" help:"Say in etcd that a worker drains."`
	Remove   remove   `cmd:"" help:"Take a worker out of etcd."`
	List     list     `cmd:"" help:"List the workers in etcd."`
	Watch    watch    `cmd:"" help:"Print changes in etcd as they come, until interrupted."`
}

type output struct{ std, err io.Writer }

type serve struct{}

// Run serves.
func (serve) Run(ctx context.Context, c *commands, out output) error {
	cfg, err := discoveryagent.Load(c.Config)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.err)
	return discoveryagent.Serve(ctx, cfg, log, func(addr string) {
		log.WithFields(logrus.Fields{"listen": addr, "sources": len(cfg.Sources)}).Info("serving")
	})
}

type check struct{}

// Run names every fault.
func (check) Run(c *commands, out output) error {
	cfg, err := discoveryagent.Load(c.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.std, "%s: good: %d sources, listening on %s\n", c.Config, len(cfg.Sources), cfg.Listen)
	return err
}

// store opens the first etcd source.
func (c *commands) store() (*clientv3.Client, string, error) {
	cfg, err := discoveryagent.Load(c.Config)
	if err != nil {
		return nil, "", err
	}
	s, err := cfg.Etcd()
	if err != nil {
		return nil, "", err
	}
	client, err := s.Client()
	return client, s.Prefix, err
}

// callWait bounds one call to etcd.
const callWait = 5 * time.Second

type register struct {
	Name     string        `arg:"" help:"The worker's name."`
	Address  string        `arg:"" help:"Where it listens, host:port."`
	Zone     string        `help:"Its zone."`
	Kind     string        `help:"Its kind of machine."`
	Weight   float64       `help:"A number to set against other workers' numbers."`
	TTL      time.Duration `help:"It leaves when it has not been refreshed for so long." default:"10s"`
	DrainFor time.Duration `help:"How long it stays listed as draining after SIGTERM." default:"5s"`
}

// Run registers the worker, keeps its lease, and drains it in the end.
func (r *register) Run(ctx context.Context, c *commands, out output) error {
	if r.TTL < time.Second || r.DrainFor < 0 {
		return errors.New("--ttl is a second at least, --drain-for not below 0")
	}
	client, prefix, err := c.store()
	if err != nil {
		return err
	}
	defer client.Close()
	v := etcd.Value{V: etcd.SchemaVersion, Address: r.Address, Zone: r.Zone, Kind: r.Kind, Weight: r.Weight, State: etcd.Up, SinceMs: time.Now().UnixMilli()}
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if _, err := etcd.Decode(r.Name, raw); err != nil {
		return fmt.Errorf("%s cannot be registered: %w", r.Name, err)
	}
	key := prefix + r.Name
	for ctx.Err() == nil {
		if err := r.keep(ctx, client, key, string(raw), out); err != nil && ctx.Err() == nil {
			fmt.Fprintln(out.err, "birchfork-members: registering again:", err)
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
			}
		}
	}
	v.State = etcd.Draining
	raw, err = json.Marshal(v)
	if err != nil {
		return err
	}
	end, done := context.WithTimeout(context.Background(), callWait+r.DrainFor)
	defer done()
	if _, err := client.Put(end, key, string(raw)); err != nil {
		return fmt.Errorf("draining %s: %w", r.Name, err)
	}
	fmt.Fprintln(out.std, r.Name, "drains")
	time.Sleep(r.DrainFor)
	if _, err := client.Delete(end, key); err != nil {
		return fmt.Errorf("taking %s out: %w", r.Name, err)
	}
	fmt.Fprintln(out.std, r.Name, "has left")
	return nil
}

// keep holds the worker under a lease until that is lost or ctx ends.
func (r *register) keep(ctx context.Context, client *clientv3.Client, key, value string, out output) error {
	call, done := context.WithTimeout(ctx, callWait)
	defer done()
	lease, err := client.Grant(call, int64(r.TTL/time.Second))
	if err != nil {
		return err
	}
	if _, err := client.Put(call, key, value, clientv3.WithLease(lease.ID)); err != nil {
		return err
	}
	alive, err := client.KeepAlive(ctx, lease.ID)
	if err != nil {
		return err
	}
	fmt.Fprintln(out.std, r.Name, "is registered")
	for range alive {
	}
	return errors.New("the lease was lost")
}

type drain struct {
	Name string `arg:"" help:"The worker's name."`
}

// Run puts the worker as draining, under the lease that it has, if nobody has changed it meanwhile.
func (d *drain) Run(ctx context.Context, c *commands, out output) error {
	client, prefix, err := c.store()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, done := context.WithTimeout(ctx, callWait)
	defer done()
	res, err := client.Get(ctx, prefix+d.Name)
	if err != nil {
		return err
	}
	if len(res.Kvs) == 0 {
		return fmt.Errorf("there is no worker %q under %s", d.Name, prefix)
	}
	kv := res.Kvs[0]
	var v map[string]any // unknown fields stay
	if err := json.Unmarshal(kv.Value, &v); err != nil {
		return fmt.Errorf("%s: its value is no JSON object: %w", d.Name, err)
	}
	v["state"] = etcd.Draining
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	key := prefix + d.Name
	var opts []clientv3.OpOption
	if kv.Lease != 0 {
		opts = append(opts, clientv3.WithLease(clientv3.LeaseID(kv.Lease)))
	}
	txn, err := client.Txn(ctx).If(clientv3.Compare(clientv3.ModRevision(key), "=", kv.ModRevision)).Then(clientv3.OpPut(key, string(raw), opts...)).Commit()
	if err != nil {
		return err
	}
	if !txn.Succeeded {
		return fmt.Errorf("%s was changed at the same moment: look again", d.Name)
	}
	_, err = fmt.Fprintln(out.std, d.Name, "drains")
	return err
}

type remove struct {
	Name string `arg:"" help:"The worker's name."`
}

// Run deletes the worker.
func (r *remove) Run(ctx context.Context, c *commands, out output) error {
	client, prefix, err := c.store()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, done := context.WithTimeout(ctx, callWait)
	defer done()
	res, err := client.Delete(ctx, prefix+r.Name)
	if err != nil {
		return err
	}
	if res.Deleted == 0 {
		return fmt.Errorf("there is no worker %q under %s", r.Name, prefix)
	}
	_, err = fmt.Fprintln(out.std, r.Name, "was taken out")
	return err
}

type list struct{}

// Run lists the workers.
func (list) Run(ctx context.Context, c *commands, out output) error {
	client, prefix, err := c.store()
	if err != nil {
		return err
	}
	defer client.Close()
	ctx, done := context.WithTimeout(ctx, callWait)
	defer done()
	res, err := client.Get(ctx, prefix, clientv3.WithPrefix())
	if err != nil {
		return err
	}
	var lines []string
	for _, kv := range res.Kvs {
		lines = append(lines, line(strings.TrimPrefix(string(kv.Key), prefix), kv.Value))
	}
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(out.std, l)
	}
	return nil
}

// line is a worker for people.
func line(name string, raw []byte) string {
	e, err := etcd.Decode(name, raw)
	if err != nil {
		return fmt.Sprintf("%-20s unusable: %v", name, err)
	}
	state := etcd.Up
	if e.State != dispatch.Ready {
		state = etcd.Draining
	}
	return fmt.Sprintf("%-20s %-9s %-22s zone %q, kind %q", name, state, e.Address, e.Zone, e.Kind)
}

type watch struct{}

// Run prints changes.
func (watch) Run(ctx context.Context, c *commands, out output) error {
	client, prefix, err := c.store()
	if err != nil {
		return err
	}
	defer client.Close()
	for res := range client.Watch(clientv3.WithRequireLeader(ctx), prefix, clientv3.WithPrefix()) {
		if err := res.Err(); err != nil {
			return err
		}
		for _, e := range res.Events {
			name := strings.TrimPrefix(string(e.Kv.Key), prefix)
			if e.Type == clientv3.EventTypeDelete {
				fmt.Fprintf(out.std, "%-20s left\n", name)
			} else {
				fmt.Fprintln(out.std, line(name, e.Kv.Value))
			}
		}
	}
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], output{os.Stdout, os.Stderr}))
}

// run is the whole program; it returns the exit status.
func run(ctx context.Context, args []string, out output) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("birchfork-members"), kong.Writers(out.std, out.err), kong.Bind(out, &c),
		kong.BindTo(ctx, (*context.Context)(nil)), kong.Description("Who the workers are, for the dispatchers on this machine."))
	if err != nil {
		fmt.Fprintln(out.err, "birchfork-members:", err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if err == nil {
		err = parsed.Run()
	}
	if err != nil {
		fmt.Fprintln(out.err, "birchfork-members:", err)
		return 1
	}
	return 0
}
