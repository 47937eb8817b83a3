//go:build !lean

package node

import "birchfork/internal/council"

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
	n.part = council.Start(o)
	return nil
}
