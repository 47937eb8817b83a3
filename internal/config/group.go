package config

import (
	"net"
	"path/filepath"
	"strconv"
	"time"

	"birchfork/internal/peer"
)

// Group is the dispatcher's group, as configured in the operator's file.
type Group struct {
	Name             string
	MaintenancePlans bool          // rolling maintenance is in use
	LeaseDuration    time.Duration // how long a member may send to machines of a plan without a renewal by the leader
	DataDir          string        // where the group's state is stored; empty: it is not stored
	Members          []peer.Member // all members, including this one
}

// groupSection is the group's section in the file.
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

// Limits of a group. A lease has to outlast several attempts to renew it and the election of a new leader; a longer one
// delays maintenance.
const (
	maxMembers   = 1000
	minVoters    = 3
	maxVoters    = 7
	defaultLease = 5 * time.Second
	minLease     = time.Second
	maxLease     = time.Minute
)

// buildGroup checks the section and builds the group; it returns nil if the file has no such section.
func (c *checker) buildGroup() *Group {
	if !c.doc.Has("group") {
		return nil
	}
	section := &c.file.Group
	group := &Group{
		Name:             section.Name,
		MaintenancePlans: section.MaintenancePlans,
		LeaseDuration:    section.LeaseDuration,
		DataDir:          section.DataDir,
	}
	if group.Name == "" {
		c.addErrorf("group.name", "missing group name: it must be the same for all members")
	}
	if !c.doc.Has("group.lease") {
		group.LeaseDuration = defaultLease
	} else if group.LeaseDuration < minLease || group.LeaseDuration > maxLease {
		c.addErrorf("group.lease", "invalid value %v: must be between %v and %v", group.LeaseDuration, minLease, maxLease)
	}
	if group.DataDir != "" && !filepath.IsAbs(group.DataDir) {
		c.addErrorf("group.folder", "invalid value %q: must be an absolute path", group.DataDir)
	}
	if n := len(section.Members); n > maxMembers {
		c.addErrorf("group.member", "too many members: got %d, at most %d are allowed", n, maxMembers)
		return group
	}
	group.Members = c.buildMembers(section.Members)
	return group
}

// buildMembers checks and builds the members: names and addresses are unique, this dispatcher is one of them, and the
// number of voters is odd, since one more voter would only raise the majority.
func (c *checker) buildMembers(sections []memberSection) []peer.Member {
	indexByName, indexByAddress := map[string]int{}, map[string]int{}
	voters := 0
	members := make([]peer.Member, 0, len(sections))
	for i, section := range sections {
		key := sectionKey("group.member", i)
		c.checkMemberName(key+".name", section.Name, indexByName)
		indexByName[section.Name] = i
		c.checkMemberAddress(key+".link", section.Address, indexByAddress)
		indexByAddress[section.Address] = i
		if section.Voter {
			voters++
		}
		members = append(members, peer.Member{Name: section.Name, Address: section.Address, Zone: section.Zone, Voter: section.Voter})
	}
	if _, ok := indexByName[c.platform.Name]; !ok {
		c.addErrorf("group.member", "missing member %q: this dispatcher must be a member", c.platform.Name)
	}
	if voters < minVoters || voters > maxVoters || voters%2 == 0 {
		c.addErrorf("group.member", "the number of members with voter = true is %d: must be 3, 5 or %d", voters, maxVoters)
	}
	return members
}

func (c *checker) checkMemberName(key, name string, indexByName map[string]int) {
	if name == "" {
		c.addErrorf(key, "missing name")
		return
	}
	if first, duplicate := indexByName[name]; duplicate {
		c.addErrorf(key, "duplicate name %q: it is the name of member[%d]", name, first)
	}
}

func (c *checker) checkMemberAddress(key, address string, indexByAddress map[string]int) {
	if !isHostPort(address) {
		c.addErrorf(key, "invalid address %q: must be host:port, with a port between 1 and 65535", address)
		return
	}
	if first, duplicate := indexByAddress[address]; duplicate {
		c.addErrorf(key, "duplicate address %q: it is the address of member[%d]", address, first)
	}
}

func isHostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	return err == nil && number > 0
}
