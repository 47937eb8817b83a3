package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// run carries one entry out.
type run struct {
	*State
	events []Event
}

func (r *run) tell(plan, machine, format string, v ...any) {
	r.events = append(r.events, Event{plan, machine, fmt.Sprintf(format, v...)})
}

// do carries out a command; its answer is for staff.
func (r *run) do(c *Command) (code int, text string) {
	switch c.Kind {
	case Join:
		return r.join(c.Member)
	case Retire:
		if r.Members[c.Name] == nil {
			return Wrong, fmt.Sprintf("no member is called %q", c.Name)
		}
		delete(r.Members, c.Name)
		r.tell("", "", "member %s is retired", c.Name)
		return Yes, "retired"
	case Trust:
		if r.Doubt {
			r.Doubt = false
			r.tell("", "", "plans may begin: no machine is with staff by a plan that was forgotten")
		}
		return Yes, "plans may begin"
	case HandIn:
		return r.handIn(c.Plan)
	case Proceed:
		r.advance(c.Advance)
		return Yes, ""
	case Take, Return, GiveUp:
		return r.machine(c)
	case Start, Halt, Resume, Abort:
		return r.plan(c)
	}
	return Wrong, fmt.Sprintf("%q is no call that this build knows", c.Kind)
}

func (r *run) join(m *Member) (int, string) {
	if m == nil || m.Name == "" {
		return Wrong, "a member has a name"
	}
	now := *m
	if was := r.Members[m.Name]; was != nil {
		now.Old = slices.Clone(was.Old)
		if was.ID != m.ID {
			now.Old = append(now.Old, Life{was.Life, was.ID})
		}
	}
	r.Members[m.Name] = &now
	r.tell("", "", "member %s is in, life %s", m.Name, m.Life)
	return Yes, "in"
}

func (r *run) handIn(p *Plan) (int, string) {
	if p == nil {
		return Wrong, "there is no plan in the call"
	}
	if faults := r.Faults(p); len(faults) > 0 {
		return Wrong, strings.Join(faults, "\n")
	}
	u := &Under{Plan: *p, Phase: HandedIn}
	for _, m := range p.Machines {
		u.Places = append(u.Places, &Place{Machine: m, Step: Waiting})
	}
	r.Plans = append(r.Plans, u)
	for i := 0; len(r.Plans) > plansKept && i < len(r.Plans); {
		if r.Plans[i].Phase == Ended {
			r.Plans = slices.Delete(r.Plans, i, i+1)
		} else {
			i++
		}
	}
	r.tell(p.Name, "", "handed in, %d machines", len(p.Machines))
	return Yes, "handed in"
}

// Faults is all that is wrong with a plan beside the plans that there are, by key.
func (s *State) Faults(p *Plan) (out []string) {
	fault := func(format string, v ...any) { out = append(out, fmt.Sprintf(format, v...)) }
	if p.Name == "" {
		fault("name: it is missing")
	} else if u := s.Plan(p.Name); u != nil && u.Phase != Ended {
		fault("name: a plan %q is %s; it needs another name", p.Name, u.Phase)
	}
	if p.Out < 1 {
		fault("out: %d machines away at a time are none; at least 1", p.Out)
	}
	if p.ZoneOut < 0 {
		fault("zone_out: %d is below 0; 0 sets no bound", p.ZoneOut)
	}
	if p.KindOut < 0 {
		fault("kind_out: %d is below 0; 0 sets no bound", p.KindOut)
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{"leave", p.Leave}, {"work", p.Work}, {"back", p.Back}} {
		if d.v < 0 {
			fault("%s: %v is below 0; 0 sets no bound", d.key, d.v)
		}
	}
	if !(p.Capacity >= 0 && p.Capacity <= 1) {
		fault("capacity: %v is no share from 0 to 1", p.Capacity)
	}
	if !slices.Contains([]string{Wait, Pause, Skip}, p.Overdue) {
		fault("overdue: %q is none of %s, %s and %s", p.Overdue, Wait, Pause, Skip)
	}
	if len(p.Machines) == 0 || len(p.Machines) > MachineMost {
		fault("machine: there are %d; from 1 to %d", len(p.Machines), MachineMost)
	}
	names, runners, hosts := map[string]int{}, map[string]int{}, map[string]int{}
	for i, m := range p.Machines {
		if at, twice := names[m.Name]; twice || m.Name == "" {
			fault("machine[%d].name: %q is empty or that of machine[%d]", i, m.Name, at)
		}
		names[m.Name] = i
		switch at, twice := hosts[m.Host]; {
		case m.Host == "" && len(m.Runners) == 0:
			fault("machine[%d].runners: there is none, and no host", i)
		case m.Host == "":
		case len(m.Runners) > 0:
			fault("machine[%d].host: it names runners too; one of both", i)
		case twice:
			fault("machine[%d].host: %q is that of machine[%d] already", i, m.Host, at)
		default:
			hosts[m.Host] = i
			for _, u := range s.Plans {
				if u.Phase != Ended && slices.ContainsFunc(u.Places, func(p *Place) bool { return !p.Step.over() && p.Host == m.Host }) {
					fault("machine[%d].host: %q is in plan %q, which is %s", i, m.Host, u.Name, u.Phase)
				}
			}
		}
		for _, w := range m.Runners {
			if at, twice := runners[w]; twice {
				fault("machine[%d].runners: %q is in machine[%d] already", i, w, at)
			}
			runners[w] = i
			for _, u := range s.Plans {
				if u.Phase != Ended && u.has(w) {
					fault("machine[%d].runners: %q is in plan %q, which is %s", i, w, u.Name, u.Phase)
				}
			}
		}
	}
	return out
}

func (u *Under) has(runner string) bool {
	return slices.ContainsFunc(u.Places, func(p *Place) bool { return !p.Step.over() && slices.Contains(p.Runners, runner) })
}

// plan carries out a call on a whole plan.
func (r *run) plan(c *Command) (int, string) {
	u := r.Plan(c.Name)
	if u == nil {
		return Wrong, fmt.Sprintf("no plan is called %q", c.Name)
	}
	from := map[Kind][]Phase{
		Start: {HandedIn}, Halt: {Running, Announced}, Resume: {Paused}, Abort: {HandedIn, Announced, Running, Paused},
	}[c.Kind]
	to := map[Kind]Phase{Start: Announced, Halt: Paused, Resume: Announced, Abort: Aborting}[c.Kind]
	if u.Phase == to || c.Kind == Start && u.Phase == Running || c.Kind == Resume && u.Phase == Running {
		return Yes, fmt.Sprintf("%s is %s already", u.Name, u.Phase)
	}
	if !slices.Contains(from, u.Phase) {
		return Wrong, fmt.Sprintf("%s is %s", u.Name, u.Phase)
	}
	if c.Kind == Start {
		u.At = r.Index // members have to have it in force before it begins
	}
	u.Phase = to
	if c.Kind == Abort {
		for _, p := range u.Places {
			switch p.Step {
			case Waiting:
				r.step(u, p, Skipped)
			case Leaving, Clear: // nobody was told so
				r.putBack(u, p)
			}
		}
		r.close(u)
	}
	r.tell(u.Name, "", "%s", u.Phase)
	return Yes, string(u.Phase)
}

// machine carries out a call on one machine.
func (r *run) machine(c *Command) (int, string) {
	u, p := r.Find(c.Name, c.Machine)
	if p == nil {
		return Wrong, fmt.Sprintf("no plan has a machine %q", c.Machine)
	}
	switch c.Kind {
	case Take:
		switch {
		case p.Step == Clear:
			r.step(u, p, Out)
		case p.Step.over() || p.Step == Returning || p.Step == Warm || p.Step == Failed:
			return Wrong, fmt.Sprintf("%s is %s: it is not to be worked on", p.Name, p.Step)
		case p.Step != Out:
			return NotNow, fmt.Sprintf("%s is %s", p.Name, p.Step)
		}
		return Yes, fmt.Sprintf("%s is clear", p.Name)
	case Return:
		switch p.Step {
		case Out, Clear:
			r.step(u, p, Returning)
		case Returning, Warm, Done:
		default:
			return Wrong, fmt.Sprintf("%s is %s: it was not out", p.Name, p.Step)
		}
		return Yes, fmt.Sprintf("%s is %s", p.Name, p.Step)
	}
	switch p.Step { // GiveUp
	case Waiting, Failed:
		r.step(u, p, Skipped)
	case Leaving, Clear:
		r.putBack(u, p)
	case Skipped:
	case Out:
		return Wrong, fmt.Sprintf("%s is %s: say done when it is whole", p.Name, p.Step)
	default:
		return Wrong, fmt.Sprintf("%s is %s", p.Name, p.Step)
	}
	return Yes, fmt.Sprintf("%s is %s", p.Name, p.Step)
}

// step moves a machine on.
func (r *run) step(u *Under, p *Place, to Step) {
	p.Step, p.At, p.Since, p.Overdue = to, r.Index, r.Clock, false
	r.tell(u.Name, p.Name, "%s", to)
}

// putBack has a machine come back that nobody was told to be clear.
func (r *run) putBack(u *Under, p *Place) {
	p.Left = true
	r.step(u, p, Returning)
}

// close ends a plan that is through with all its machines.
func (r *run) close(u *Under) {
	if u.Phase == Ended || slices.ContainsFunc(u.Places, func(p *Place) bool { return !p.Step.over() }) {
		return
	}
	u.Phase = Ended
	r.tell(u.Name, "", "%s", Ended)
}
