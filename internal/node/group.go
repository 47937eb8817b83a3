//go:build !lean

package node

import (
	"fmt"
	"net"
	"slices"
	"time"

	"birchfork/internal/council"
	"birchfork/internal/group"
)

// groupsLinked says that this build has what groups need.
const groupsLinked = true

// takePart takes part in the group, if there is one. Its address has to be free, unless another process of this dispatcher
// may have it.
func (n *node) takePart() error {
	g := n.config.group()
	if g == nil {
		return nil
	}
	if n.beside.Load() == 0 {
		i := slices.IndexFunc(g.Peers, func(p group.Peer) bool { return p.Name == n.config.Name })
		l, err := net.Listen("tcp", g.Peers[i].Link)
		if err != nil {
			return fmt.Errorf("group.member[%d].link: %w", i, err)
		}
		l.Close()
	}
	n.part = council.Start(council.Options{
		Group: g, Self: n.config.Name, Dispatcher: n.store, Attempt: n.config.attempt(),
		Warm: time.Duration(n.config.Settings.WarmWithin) * time.Microsecond, Log: n.log.WithField("part", "group"),
		Beside: func() (int, bool) {
			o := n.process.Others()
			return o.Alive, o.Newer
		},
	})
	return nil
}
