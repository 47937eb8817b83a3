//go:build !lean

package server

import (
	"encoding/json"
	"fmt"
	"io"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/coordinator"
	"birchfork/internal/engine"
	"birchfork/internal/gossip"
	"birchfork/internal/gossip/endpoints"
	"birchfork/internal/gossip/outliers"
)

// groupsLinked says that this build has what groups need.
const groupsLinked = true

// about is what the others are told of this process.
func (n *node) about() gossip.About {
	c := n.inForce()
	return gossip.About{Version: version(), Settings: c.digest, Operator: c.Operator.Digest, Started: n.began}
}

// version is the revision that this program was built from, as far as the build has noted it.
var version = sync.OnceValue(func() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(len(s.Value), 12)]
		}
	}
	return b.Main.Version
})

// ownKeys are the platform's settings that differ between dispatchers as they should.
var ownKeys = []string{"zone", "ordinal"}

// settingsDigest is the same for dispatchers that the platform tells the same.
func settingsDigest(raw json.RawMessage) string {
	var f struct {
		Settings map[string]any `json:"settings"`
	}
	if json.Unmarshal(raw, &f) != nil {
		return "" // Decode says so
	}
	for _, k := range ownKeys {
		delete(f.Settings, k)
	}
	all, err := json.Marshal(f.Settings) // keys in order
	if err != nil {
		return ""
	}
	return fmt.Sprintf("%016x", xxhash.Sum64(all))
}

// free tells why this configuration's place in its group cannot be taken now.
func (c *Config) free() error {
	g := c.group()
	if g == nil {
		return nil
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	return coordinator.Check(coordinator.Options{Group: g, Self: c.Name, Log: log})
}

// lists are the store's list as roster wants it.
type lists struct{ *engine.Store }

// goneTold is how long others are told that a worker has gone: one that was away for longer has a list by then.
const goneTold = 15 * time.Minute

// states are those of the list, in roster's order.
var states = map[dispatch.State]endpoints.State{dispatch.Ready: endpoints.Up, dispatch.Draining: endpoints.Draining, dispatch.Gone: endpoints.Gone}

func (l lists) Facts() (all []endpoints.Fact, fresh bool) {
	known, fresh := l.Known(goneTold)
	for _, k := range known {
		all = append(all, endpoints.Fact{Name: k.Name, Start: k.Start, State: states[k.State]})
	}
	return all, fresh
}

func (l lists) Count() uint64        { return l.NewsCount() }
func (l lists) Alive() time.Duration { return l.Watched() }

// takePart takes part in the group, if there is one. Its address and folder have to be free, unless another process of this
// dispatcher may have them.
func (n *node) takePart() error {
	g := n.config.group()
	if g == nil {
		return nil
	}
	o := coordinator.Options{
		Group: g, Self: n.config.Name, Dispatcher: n.store, Deadline: n.config.longest(), Arrive: n.config.arrive(),
		Warm: n.config.warm(), Log: n.log.WithField("part", "group"),
		Beside: func() (int, bool) { return int(n.beside.Load()), n.newer.Load() }, // as of the last look: see share
	}
	if dir := n.process.Folder(); dir != "" {
		o.Witness = filepath.Join(dir, "group.mark")
	}
	if n.beside.Load() == 0 {
		if err := coordinator.Check(o); err != nil {
			return err
		}
	}
	var others []string
	for _, p := range g.Peers {
		if p.Name != n.config.Name {
			others = append(others, p.Name)
		}
	}
	s, err := gossip.New(gossip.Options{
		Group: g.Name, Self: n.config.Name, Folder: g.Folder, Peers: others, Changed: n.bySpread, Say: n.byHand, About: n.about,
		Log: n.log.WithField("part", "group"),
	})
	if err != nil {
		return fmt.Errorf("group.folder: %w", err)
	}
	w := outliers.New(others, n.store.Warned)
	n.store.OnWarn(w.Warn)
	list := endpoints.NewTeller(others, lists{n.store}, n.log.WithField("part", "group"))
	n.copies, o.Guests = s, []coordinator.Guest{s, w, list}
	n.counts = []func() map[string]int64{s.Fields, w.Fields, list.Fields}
	n.part = coordinator.Start(o)
	return nil
}
