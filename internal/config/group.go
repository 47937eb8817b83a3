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
	Name             string
	MaintenancePlans bool          // plans of machines to be taken out are in use
	LeaseDuration    time.Duration // how long a member may send to machines of a plan without a word of the group
	DataDir          string        // where what was settled is kept; empty: nothing is
	Members          []peer.Member // all members, ourselves too
}

// groupSection is the section as it is written.
type groupSection struct {
	Name             string          `toml:"name"`
	MaintenancePlans bool            `toml:"plans"`
	LeaseDuration    time.Duration   `toml:"lease"`
	DataDir          string          `toml:"folder"`
	Members          []memberSection `toml:"member"`
}

type memberSection struct {
	Name    string `toml:"name"`
	Address string `toml:"link"`
	Zone    string `toml:"zone"`
	Voter   bool   `toml:"voter"`
}

// Bounds on a group. A lease outlasts several tries to renew it, and a new leader's election; a longer one holds up work.
const (
	maxMembers   = 1000
	maxVoters    = 7
	defaultLease = 5 * time.Second
	minLease     = time.Second
	maxLease     = time.Minute
)

// buildGroup checks the section and builds what it says; nil where the file has none.
func (c *checker) buildGroup() *Group {
	if !c.doc.Has("group") {
		return nil
	}
	section := &c.file.Group
	g := &Group{Name: section.Name, MaintenancePlans: section.MaintenancePlans, LeaseDuration: section.LeaseDuration, DataDir: section.DataDir}
	if g.Name == "" {
		c.addErrorf("group.name", "it is missing: members of one group share a name")
	}
	if !c.doc.Has("group.lease") {
		g.LeaseDuration = defaultLease
	} else if g.LeaseDuration < minLease || g.LeaseDuration > maxLease {
		c.addErrorf("group.lease", "%v is not from %v to %v", g.LeaseDuration, minLease, maxLease)
	}
	if g.DataDir != "" && !filepath.IsAbs(g.DataDir) {
		c.addErrorf("group.folder", "%q is no absolute path", g.DataDir)
	}
	if len(section.Members) > maxMembers {
		c.addErrorf("group.member", "%d are more than %d", len(section.Members), maxMembers)
		return g
	}
	indexByName, indexByAddress, voters := map[string]int{}, map[string]int{}, 0
	for i, member := range section.Members {
		key := fmt.Sprintf("group.member[%d]", i)
		if member.Name == "" {
			c.addErrorf(key+".name", "it is missing")
		} else if first, duplicate := indexByName[member.Name]; duplicate {
			c.addErrorf(key+".name", "%q is member[%d] already", member.Name, first)
		}
		indexByName[member.Name] = i
		if host, port, err := net.SplitHostPort(member.Address); err != nil || host == "" || !isPort(port) {
			c.addErrorf(key+".link", "%q is not host:port", member.Address)
		} else if first, duplicate := indexByAddress[member.Address]; duplicate {
			c.addErrorf(key+".link", "%q is that of member[%d] already", member.Address, first)
		}
		indexByAddress[member.Address] = i
		if member.Voter {
			voters++
		}
		g.Members = append(g.Members, peer.Member{Name: member.Name, Address: member.Address, Zone: member.Zone, Voter: member.Voter})
	}
	if _, ok := indexByName[c.platform.Name]; !ok {
		c.addErrorf("group.member", "%q, which is this dispatcher, is not among them", c.platform.Name)
	}
	if voters < 3 || voters > maxVoters || voters%2 == 0 {
		c.addErrorf("group.member", "%d have voter = true; it has to be 3, 5 or %d", voters, maxVoters)
	}
	return g
}

func isPort(text string) bool {
	port, err := strconv.ParseUint(text, 10, 16)
	return err == nil && port > 0
}
