package cluster

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/scenario"
)

// Changes of members that are not faults. Delays start when the function that uses them is called, not with the run.
const (
	olderBuildFor     = 3 * time.Second // how long the member runs the older build
	joinsAfter        = 3 * time.Second // by then the plan is running
	reconfiguredAfter = 500 * time.Millisecond
	deadlineDivisor   = 8 // divides the initial deadlines, so that a lease plus the wait for attempts is shorter than an attempt with the full deadline
)

// The numbers of voters.
const (
	smallGroupVoters = 3
	largeGroupVoters = 5
)

// voters returns the number of voters in a group of the given size.
func voters(members int) int {
	if members >= largeGroupVoters {
		return largeGroupVoters
	}
	return smallGroupVoters
}

// memberName returns the name of a member by its number.
func memberName(member int) string { return fmt.Sprintf("d%d", member) }

// operatorFile returns the path of a member's operator configuration.
func (h *harness) operatorFile(name string) string { return filepath.Join(h.dir, name+".toml") }

// temporaryDir returns the directory of a member's temporary files, which are lost when its machine crashes.
func (h *harness) temporaryDir(member int) string {
	return filepath.Join(h.dir, "birchfork-"+memberName(member))
}

// diskDir returns the directory of a member's persistent state.
func (h *harness) diskDir(member int) string {
	return filepath.Join(h.dir, "disk-"+memberName(member))
}

// createLinks chooses the members' addresses and creates a link for each ordered pair of members.
func (h *harness) createLinks() error {
	members := h.options.Members
	var err error
	if h.addresses, err = testbed.FreeAddresses(members); err != nil {
		return err
	}
	for from := range members {
		for to := range members {
			if to == from {
				continue
			}
			if h.links[[2]int{from, to}], err = newLink(fakes.Loopback(), h.addresses[to]); err != nil {
				return err
			}
		}
	}
	return nil
}

// writeOperatorFiles writes the operator configuration of all members. The absent member gets an empty file and is left out of the other
// members' files; 0: no member is absent.
func (h *harness) writeOperatorFiles(absent int) error {
	for member := range h.options.Members {
		text := ""
		if member != absent || absent == 0 {
			text = h.operatorConfig(member, absent)
		}
		if err := os.WriteFile(h.operatorFile(memberName(member)), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// operatorConfig returns a member's operator configuration, in which the other members have the addresses of the links to them.
func (h *harness) operatorConfig(member, absent int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[group]\nname = \"lab\"\nplans = true\nlease = %q\n", h.options.Lease)
	if !h.options.Diskless {
		fmt.Fprintf(&b, "folder = %q\n", h.diskDir(member))
	}
	for other := range h.options.Members {
		if other == absent && absent > 0 {
			continue
		}
		address := h.addresses[other]
		if other != member {
			address = h.links[[2]int{member, other}].address()
		}
		writeMemberSection(&b, other, address, h.options.Members)
	}
	return b.String()
}

// writeMemberSection writes a member's section of an operator configuration, in a group of the given size.
func writeMemberSection(b *strings.Builder, member int, address string, members int) {
	fmt.Fprintf(b, "[[group.member]]\nname = %q\nlink = %q\nvoter = %t\n", memberName(member), address, member < voters(members))
}

// joinMember adds the absent member while the plan runs. The member is down until all files list it and the other members have been
// restarted one after the other.
func (h *harness) joinMember(ctx context.Context) {
	h.environment.KillAndRestart(ctx, h.options.JoiningMember, joinsAfter, func() {
		if err := h.writeOperatorFiles(0); err != nil {
			h.recordStatus(err.Error())
		}
		for member := range h.addresses {
			if member != h.options.JoiningMember && ctx.Err() == nil {
				h.environment.Restart(ctx, member)
			}
		}
	})
}

// replaceOlderBuild restarts the member that runs an older build after olderBuildFor. The member then runs the current build.
func (h *harness) replaceOlderBuild(ctx context.Context) {
	sleep(ctx, olderBuildFor)
	h.environment.Restart(ctx, h.options.OlderBuild)
}

// deliveredScenario returns the scenario with the settings for a member's configuration: the scenario of the run, or one with shorter
// deadlines until the members are reconfigured.
func (h *harness) deliveredScenario(_ int, s *scenario.Scenario) *scenario.Scenario {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.options.Reconfigured || h.reconfigured {
		return s
	}
	short := *s
	short.Classes = slices.Clone(s.Classes)
	for i := range short.Classes {
		short.Classes[i].Deadline /= deadlineDivisor
	}
	return &short
}

// reconfigure makes all members reload their configuration with the full deadlines after reconfiguredAfter.
func (h *harness) reconfigure(ctx context.Context) {
	sleep(ctx, reconfiguredAfter)
	h.mu.Lock()
	h.reconfigured = true
	h.mu.Unlock()
	for member := range h.addresses {
		h.environment.Reload(member)
	}
}

// outerLink is a link from a member to a worker or to discovery.
type outerLink struct {
	faultKind string // the only kind of fault that affects the link
	member    int
	address   string
	link      *link
}

// outerLinkMapper returns a function that maps an address outside the group to the address of a link to it. The link is created on first
// use. It returns nil if the run has no fault of this kind.
func (h *harness) outerLinkMapper(faultKind string) func(member int, address string) string {
	if !slices.ContainsFunc(h.result.Faults, func(f Fault) bool { return f.Kind == faultKind }) {
		return nil
	}
	return func(member int, address string) string {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, o := range h.outerLinks {
			if o.faultKind == faultKind && o.member == member && o.address == address {
				return o.link.address()
			}
		}
		host, _, splitErr := net.SplitHostPort(address) // the link listens on the same host, because the target is identified by its host
		l, linkErr := newLink(host, address)
		if err := errors.Join(splitErr, linkErr); err != nil {
			h.result.LastStatus = err.Error()
			return address
		}
		h.outerLinks = append(h.outerLinks, outerLink{faultKind, member, address, l})
		l.setFault(h.outerLinkFault(faultKind, member))
		return l.address()
	}
}
