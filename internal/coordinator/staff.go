package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// Call is what staff ask for. A Command's ID makes it act once however often it comes.
type Call struct {
	Command *maintenance.Command `json:"command,omitempty"`
	Check   bool                 `json:"check,omitempty"`  // only look whether a plan could be handed in
	Found   bool                 `json:"found,omitempty"`  // begin the group here
	Again   bool                 `json:"again,omitempty"`  // ... which had a history that is lost: no plan begins before Trust
	Vouch   bool                 `json:"vouch,omitempty"`  // this member's disk is the last one that it had
	Status  bool                 `json:"status,omitempty"` // tell how things stand
	Local   bool                 `json:"local,omitempty"`  // ... by what this member knows
}

// Reply is the answer to a Call.
type Reply struct {
	Code   int     `json:"code"` // as outage.Answer's
	Text   string  `json:"text"`
	Status *Status `json:"status,omitempty"`
}

// Status is how things stand.
type Status struct {
	Told    string         `json:"told"`    // by which member
	Settled bool           `json:"settled"` // a quorum has confirmed it; else it is what this member knew last
	Leader  string         `json:"leader"`
	Term    uint64         `json:"term"`
	Index   uint64         `json:"index"`
	Failed  string         `json:"failed,omitempty"` // why this member takes no part
	Bounds  Bounds         `json:"bounds"`
	Members []MemberStatus `json:"members"`
	Plans   []PlanStatus   `json:"plans"`

	Links map[string]int64 `json:"links"` // what has passed on the links of the member that tells
}

// Bounds are the times that a machine's clear rests on.
type Bounds struct {
	Lease   time.Duration `json:"lease"`   // this member's
	Attempt time.Duration `json:"attempt"` // the longest that one may run
	Settled time.Duration `json:"settled"` // how long the group waits for a silent member
}

// MemberStatus is one member.
type MemberStatus struct {
	Name    string        `json:"name"`
	Zone    string        `json:"zone"` // by the file of the member that tells
	Life    string        `json:"life"`
	Votes   bool          `json:"votes"`
	Heard   time.Duration `json:"heard"` // ago, by the leader; below 0: never
	Applied uint64        `json:"applied"`
	Alone   bool          `json:"alone"`
}

// PlanStatus is one plan.
type PlanStatus struct {
	Name     string            `json:"name"`
	Phase    maintenance.Phase `json:"phase"`
	Why      string            `json:"why,omitempty"` // what all of it waits for
	Machines []MachineStatus   `json:"machines"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	Name    string           `json:"name"`
	Step    maintenance.Step `json:"step"`
	For     time.Duration    `json:"for"` // on the group's clock, up to the last entry
	Overdue bool             `json:"overdue,omitempty"`
	Why     string           `json:"why,omitempty"` // what it waits for
}

// NotSettled begins an answer where no leader could settle the call in time.
const NotSettled = "not settled yet, ask again"

// doubtText says why no plan begins after a group was founded again.
const doubtText = "machines may be with staff by a plan that was forgotten when the group was founded again; once none is: birchfork group trust"

// onStaff takes a call of staff at any member.
func (c *Council) onStaff(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return json.Marshal(Reply{Code: maintenance.Wrong, Text: "no call: " + err.Error()})
	}
	if call.Found {
		return json.Marshal(c.found(ctx, call.Again))
	}
	if call.Vouch {
		return json.Marshal(c.vouch())
	}
	if call.Status && call.Local {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(false)})
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	out, err := c.askLeader(ctx, pathCall, body)
	if err == nil {
		return out, nil
	}
	r := Reply{Code: maintenance.NotNow, Text: fmt.Sprintf("%s (%v)", NotSettled, err)}
	if call.Status {
		c.mu.Lock()
		r.Status = c.status(false)
		c.mu.Unlock()
	}
	return json.Marshal(r)
}

// onCall takes a call at the leader.
func (c *Council) onCall(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var call Call
	if err := json.Unmarshal(body, &call); err != nil {
		return nil, &peer.Refused{Text: "no call: " + err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, settleWait)
	defer cancel()
	a := c.agreement()
	if a == nil {
		return nil, errOutside
	}
	index, err := a.Read(ctx)
	if err == nil {
		err = c.inForce(ctx, index)
	}
	if err != nil {
		return nil, err
	}
	if call.Status {
		c.mu.Lock()
		defer c.mu.Unlock()
		return json.Marshal(Reply{Status: c.status(true)})
	}
	if call.Command == nil {
		return nil, &peer.Refused{Text: "a call for nothing"}
	}
	c.mu.Lock()
	reply := c.before(&call)
	c.mu.Unlock()
	if reply != nil {
		return json.Marshal(reply)
	}
	return c.settle(ctx, a, call.Command)
}

// before answers what needs no entry; nil: it needs one. The lock is held.
func (c *Council) before(call *Call) *Reply {
	cmd := call.Command
	if cmd.ID == "" {
		return &Reply{Code: maintenance.Wrong, Text: "a call without an id"}
	}
	if was, ok := c.state.Answer(cmd.ID); ok && !failpoint.On(failpoint.ActsTwice) {
		return &Reply{Code: was.Code, Text: was.Text}
	}
	if silent, older := c.lacking(cmd.Requires()); len(older) > 0 {
		return &Reply{Code: maintenance.NotNow, Text: "of a build that does not know this call: " + strings.Join(older, ", ")}
	} else if len(silent) > 0 {
		return &Reply{Code: maintenance.NotNow, Text: "not heard of yet by this leader, and may be of a build that does not know this call: " + strings.Join(silent, ", ")}
	}
	switch cmd.Kind {
	case maintenance.Join, maintenance.Proceed:
		return &Reply{Code: maintenance.Wrong, Text: "no call of staff"}
	case maintenance.HandIn:
		if cmd.Plan == nil {
			return &Reply{Code: maintenance.Wrong, Text: "there is no plan in the call"}
		}
		faults := append(c.state.Faults(cmd.Plan), c.unfit(cmd.Plan)...)
		if len(faults) > 0 {
			return &Reply{Code: maintenance.Wrong, Text: strings.Join(faults, "\n")}
		}
		if call.Check {
			return &Reply{Text: "good"}
		}
	case maintenance.Start:
		if text := c.absent(); text != "" {
			return &Reply{Code: maintenance.NotNow, Text: text}
		}
	case maintenance.Take:
		if u, p := c.state.Find(cmd.Name, cmd.Machine); p != nil && (p.Step == maintenance.Waiting || p.Step == maintenance.Leaving) {
			why := c.state.Why(u, c.advance())
			return &Reply{Code: maintenance.NotNow, Text: strings.TrimSuffix(fmt.Sprintf("%s is %s: %s", p.Name, p.Step, why[p.Name]), ": ")}
		}
	}
	return nil
}

// unfit is what of a plan does not fit the fleet as it is, by key. The lock is held.
func (c *Council) unfit(p *maintenance.Plan) (out []string) {
	fleet := c.advance().Fleet
	at := map[string]int{} // hosts that are machines
	for i, m := range p.Machines {
		if m.Host == "" {
			continue
		}
		at[m.Host] = i
		there := func(name string) bool { return fleet[name].Host == m.Host && !fleet[name].Gone }
		if !slices.ContainsFunc(slices.Collect(maps.Keys(fleet)), there) {
			out = append(out, fmt.Sprintf("machine[%d].host: no runner is listed at %q; hosts are as in the list's addresses", i, m.Host))
		}
	}
	out = append(out, c.elsewhere(p, fleet)...)
	for i, m := range p.Machines {
		for _, r := range m.Runners {
			w, ok := fleet[r]
			if !ok {
				out = append(out, fmt.Sprintf("machine[%d].runners: %q is not on the list", i, r))
			} else if j, both := at[w.Host]; both {
				out = append(out, fmt.Sprintf("machine[%d].runners: %q is at the host of machine[%d]", i, r, j))
			}
		}
	}
	return out
}

// elsewhere are machines of a plan that another one has under the other of a runner's names, its own and its host's: they would
// count twice against the budget. The lock is held.
func (c *Council) elsewhere(p *maintenance.Plan, fleet map[string]maintenance.Runner) (out []string) {
	for _, u := range c.state.Plans {
		if u.Phase == maintenance.Ended {
			continue
		}
		for _, o := range u.Places {
			if o.Step == maintenance.Done || o.Step == maintenance.Skipped {
				continue
			}
			for i, m := range p.Machines {
				for _, r := range m.Runners {
					if o.Host != "" && fleet[r].Host == o.Host {
						out = append(out, fmt.Sprintf("machine[%d].runners: %q is at host %s, which is in plan %q", i, r, o.Host, u.Name))
					}
				}
				for _, r := range o.Runners {
					if m.Host != "" && o.Host == "" && fleet[r].Host == m.Host {
						out = append(out, fmt.Sprintf("machine[%d].host: %q, which is there, is in plan %q", i, r, u.Name))
					}
				}
			}
		}
	}
	return out
}

// lacking are the members that may not know a level of entries, where nothing that is settled needs it yet: those that this leader
// has not heard of, and those whose build is older. The lock is held.
func (c *Council) lacking(level int) (silent, older []string) {
	if level <= max(c.state.Level, 1) {
		return nil, nil
	}
	for _, name := range c.state.Names() {
		if h, ok := c.words[name]; !ok {
			silent = append(silent, name)
		} else if h.Level < level {
			older = append(older, name)
		}
	}
	return silent, older
}

// absent says why no plan may start: each member by our file has to be in, and in use of plans, as one that knows of no group
// sends where it likes. The lock is held.
func (c *Council) absent() string {
	var out, silent, without []string
	for _, p := range c.o.Group.Peers {
		if c.state.Members[p.Name] == nil {
			out = append(out, p.Name)
		} else if h, ok := c.words[p.Name]; !ok {
			silent = append(silent, p.Name)
		} else if !h.Plans {
			without = append(without, p.Name)
		}
	}
	switch {
	case len(out) > 0:
		return "not in the group yet: " + strings.Join(out, ", ")
	case len(silent) > 0:
		return "not heard of yet by this leader: " + strings.Join(silent, ", ")
	case c.state.Doubt:
		return doubtText
	case len(without) > 0 || !c.o.Group.Plans:
		return "without plans = true in [group]: " + strings.Join(without, ", ")
	}
	return ""
}

// settle proposes a command and waits for its answer.
func (c *Council) settle(ctx context.Context, a *consensus.Agree, cmd *maintenance.Command) ([]byte, error) {
	raw, err := entry(cmd)
	if err != nil {
		return nil, err
	}
	if failpoint.On(failpoint.SilentAnswer) && cmd.Kind == maintenance.Take {
		time.AfterFunc(time.Second, func() { a.Propose(context.Background(), raw) })
		return json.Marshal(Reply{Text: "yes"})
	}
	if err := a.Propose(ctx, raw); err != nil {
		return nil, err
	}
	var was maintenance.Answer
	err = c.until(ctx, func(s *maintenance.State) (ok bool) {
		was, ok = s.Answer(cmd.ID)
		return ok
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(Reply{Code: was.Code, Text: was.Text})
}

// status is how things stand. The lock is held.
func (c *Council) status(settled bool) *Status {
	s := &Status{Told: c.o.Self, Settled: settled, Index: c.state.Index, Bounds: Bounds{c.o.Group.Lease, c.attempt, c.state.Bound}}
	var voters []uint64
	if c.voice != nil {
		s.Links = c.voice.links.Counters.All()
	}
	if c.voice != nil && c.voice.agree != nil {
		a := c.voice.agree.Status()
		s.Term, s.Failed, voters = a.Term, a.Failed, a.Voters
		for _, m := range c.state.Members {
			if m.ID == a.Leader {
				s.Leader = m.Name
			}
		}
	}
	for _, name := range c.state.Names() {
		m := c.state.Members[name]
		is := MemberStatus{Name: name, Life: m.Life, Votes: slices.Contains(voters, m.ID), Heard: -1}
		for _, p := range c.o.Group.Peers {
			if p.Name == name {
				is.Zone = p.Zone
			}
		}
		if h, ok := c.words[name]; ok {
			is.Heard, is.Applied, is.Alone = time.Since(h.at), h.Applied, h.Alone
		}
		s.Members = append(s.Members, is)
	}
	adv := c.advance()
	for _, u := range c.state.Plans {
		why := map[string]string{}
		if settled {
			why = c.state.Why(u, adv)
		}
		p := PlanStatus{Name: u.Name, Phase: u.Phase, Why: why[""]}
		for _, m := range u.Places {
			p.Machines = append(p.Machines, MachineStatus{m.Name, m.Step, c.state.Clock - m.Since, m.Overdue, why[m.Name]})
		}
		s.Plans = append(s.Plans, p)
	}
	return s
}

// vouch takes staff's word that our disk is the last one that we had.
func (c *Council) vouch() Reply {
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	if v == nil {
		return Reply{Code: maintenance.NotNow, Text: "this process does not speak for its dispatcher in the group"}
	}
	select {
	case v.vouched <- struct{}{}:
		return Reply{Text: "taken"}
	case <-time.After(joinEvery + askWait):
		return Reply{Code: maintenance.NotNow, Text: "this member does not wait for a word on its disk"}
	}
}

// found begins the group at this member. The others join it.
func (c *Council) found(ctx context.Context, again bool) Reply {
	c.mu.Lock()
	v := c.voice
	c.mu.Unlock()
	if v == nil {
		return Reply{Code: maintenance.NotNow, Text: "this process does not speak for its dispatcher in the group"}
	}
	if f := c.who().Founded; f != "" {
		return Reply{Text: "this member is in the group already, founded as " + f}
	}
	ask, err := json.Marshal(joining{Name: c.o.Self})
	if err != nil {
		return Reply{Code: maintenance.Wrong, Text: err.Error()}
	}
	silent := map[string]error{}
	for _, p := range c.o.Group.Peers {
		if p.Name == c.o.Self {
			continue
		}
		if _, err := c.ask(ctx, v, p.Name, pathJoin, ask); !isOutside(err) {
			silent[p.Name] = err
		}
	}
	if len(silent) > 0 { // one of them may be in the group
		name := slices.Min(slices.Collect(maps.Keys(silent)))
		return Reply{Code: maintenance.NotNow, Text: fmt.Sprintf("each member has to say that it is in no group yet; %s: %v", name, silent[name])}
	}
	select {
	case v.founding <- again:
	case <-ctx.Done():
		return Reply{Code: maintenance.NotNow, Text: NotSettled}
	}
	for ctx.Err() == nil && c.agreement() == nil {
		pause(ctx, 5*time.Millisecond)
	}
	if c.agreement() == nil {
		return Reply{Code: maintenance.NotNow, Text: NotSettled}
	}
	return Reply{Text: "founded"}
}

// foundHere begins the group on our disk.
func (c *Council) foundHere(v *voice, disk *consensus.Disk, again bool) error {
	if !disk.Empty() {
		return errors.New("the group's folder is not empty")
	}
	self, _ := c.self()
	s := maintenance.New()
	s.Index, s.Doubt = 1, again
	s.Members[c.o.Self] = &maintenance.Member{Name: c.o.Self, Life: v.who.Life, ID: v.who.ID, Voter: self.Voter}
	raw, err := s.Encode()
	if err != nil {
		return err
	}
	if err := consensus.Found(disk, rand.Text()[:10], raw); err != nil {
		return err
	}
	c.begin(v, disk, c.witness(), nil, true)
	return nil
}
