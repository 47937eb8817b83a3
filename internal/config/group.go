package config

import (
	"fmt"
	"net"
	"path/filepath"
	"strconv"
	"time"

	"birchfork/internal/peer"
)

// Group is what the operator says of the group that this dispatcher is in.
type Group struct {
	Name   string
	Plans  bool          // plans of machines to be taken out are in use
	Lease  time.Duration // how long a member may send to machines of a plan without a word of the group
	Folder string        // where what was settled is kept; empty: nothing is
	Peers  []peer.Peer   // all members, ourselves too
}

// groupPart is the section as it is written.
type groupPart struct {
	Name    string        `toml:"name"`
	Plans   bool          `toml:"plans"`
	Lease   time.Duration `toml:"lease"`
	Folder  string        `toml:"folder"`
	Members []groupMember `toml:"member"`
}

type groupMember struct {
	Name  string `toml:"name"`
	Link  string `toml:"link"`
	Zone  string `toml:"zone"`
	Voter bool   `toml:"voter"`
}

// Bounds on a group. A lease outlasts several tries to renew it, and a new leader's election; a longer one holds up work.
const (
	membersMost  = 1000
	votersMost   = 7
	defaultLease = 5 * time.Second
	leastLease   = time.Second
	mostLease    = time.Minute
)

// group checks the section and builds what it says; nil where the file has none.
func (c *checker) group() *Group {
	if !c.doc.Has("group") {
		return nil
	}
	f := &c.file.Group
	g := &Group{Name: f.Name, Plans: f.Plans, Lease: f.Lease, Folder: f.Folder}
	if g.Name == "" {
		c.fault("group.name", "it is missing: members of one group share a name")
	}
	if !c.doc.Has("group.lease") {
		g.Lease = defaultLease
	} else if g.Lease < leastLease || g.Lease > mostLease {
		c.fault("group.lease", "%v is not from %v to %v", g.Lease, leastLease, mostLease)
	}
	if g.Folder != "" && !filepath.IsAbs(g.Folder) {
		c.fault("group.folder", "%q is no absolute path", g.Folder)
	}
	if len(f.Members) > membersMost {
		c.fault("group.member", "%d are more than %d", len(f.Members), membersMost)
		return g
	}
	names, links, voters := map[string]int{}, map[string]int{}, 0
	for i, m := range f.Members {
		key := fmt.Sprintf("group.member[%d]", i)
		if m.Name == "" {
			c.fault(key+".name", "it is missing")
		} else if at, twice := names[m.Name]; twice {
			c.fault(key+".name", "%q is member[%d] already", m.Name, at)
		}
		names[m.Name] = i
		if host, port, err := net.SplitHostPort(m.Link); err != nil || host == "" || !isPort(port) {
			c.fault(key+".link", "%q is not host:port", m.Link)
		} else if at, twice := links[m.Link]; twice {
			c.fault(key+".link", "%q is that of member[%d] already", m.Link, at)
		}
		links[m.Link] = i
		if m.Voter {
			voters++
		}
		g.Peers = append(g.Peers, peer.Peer{Name: m.Name, Link: m.Link, Zone: m.Zone, Voter: m.Voter})
	}
	if _, ok := names[c.p.Name]; !ok {
		c.fault("group.member", "%q, which is this dispatcher, is not among them", c.p.Name)
	}
	if voters < 3 || voters > votersMost || voters%2 == 0 {
		c.fault("group.member", "%d have voter = true; it has to be 3, 5 or %d", voters, votersMost)
	}
	return g
}

func isPort(s string) bool {
	n, err := strconv.ParseUint(s, 10, 16)
	return err == nil && n > 0
}
