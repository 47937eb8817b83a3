package node

import (
	"fmt"
	"net"
	"slices"
	"time"

	"birchfork/internal/config"
	"birchfork/internal/council"
	"birchfork/internal/group"
)

// connectSpare is for a connection to come up where the settings do not say how long that may take.
const connectSpare = time.Second

// group is the group that the operator's file names; nil where there is none.
func (c *Config) group() *config.Group {
	if c.Operator == nil {
		return nil
	}
	return c.Operator.Group
}

// attempt is the longest that an attempt may run at a worker after its last byte, with what it took to connect.
func (c *Config) attempt() time.Duration {
	longest := time.Duration(0)
	for _, k := range c.Settings.Classes {
		longest = max(longest, time.Duration(k.Deadline)*time.Microsecond)
	}
	connect := time.Duration(c.Settings.ConnectTimeout) * time.Microsecond
	if connect <= 0 {
		connect = connectSpare
	}
	return longest + connect
}

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
	n.council = council.Start(council.Options{
		Group: g, Self: n.config.Name, Dispatcher: n.store, Attempt: n.config.attempt(),
		Warm: time.Duration(n.config.Settings.WarmWithin) * time.Microsecond, Log: n.log.WithField("part", "group"),
		Beside: func() (int, bool) {
			o := n.process.Others()
			return o.Alive, o.Newer
		},
	})
	return nil
}

// leaveGroup ends our part.
func (n *node) leaveGroup() {
	if n.council != nil {
		n.council.Close()
	}
}
