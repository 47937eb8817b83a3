//go:build !lean

package node

import (
	"fmt"

	"birchfork/internal/council"
	"birchfork/internal/spread"
	"birchfork/internal/warning"
)

// groupsLinked says that this build has what groups need.
const groupsLinked = true

// takePart takes part in the group, if there is one. Its address and folder have to be free, unless another process of this
// dispatcher may have them.
func (n *node) takePart() error {
	g := n.config.group()
	if g == nil {
		return nil
	}
	o := council.Options{
		Group: g, Self: n.config.Name, Dispatcher: n.store, Deadline: n.config.longest(), Arrive: n.config.arrive(),
		Warm: n.config.warm(), Log: n.log.WithField("part", "group"),
		Beside: func() (int, bool) { return int(n.beside.Load()), n.newer.Load() }, // as of the last look: see share
	}
	if n.beside.Load() == 0 {
		if err := council.Check(o); err != nil {
			return err
		}
	}
	var others []string
	for _, p := range g.Peers {
		if p.Name != n.config.Name {
			others = append(others, p.Name)
		}
	}
	s, err := spread.New(spread.Options{
		Group: g.Name, Self: n.config.Name, Folder: g.Folder, Peers: others, Changed: n.bySpread, Say: n.byHand,
		Log: n.log.WithField("part", "group"),
	})
	if err != nil {
		return fmt.Errorf("group.folder: %w", err)
	}
	w := warning.New(others, n.store.Warned)
	n.store.OnWarn(w.Warn)
	n.copies, o.Guests = s, []council.Guest{s, w}
	n.counts = []func() map[string]int64{s.Fields, w.Fields}
	n.part = council.Start(o)
	return nil
}
