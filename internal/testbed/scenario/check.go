package scenario

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/internal/tomlfile"
)

// check adds every invalid value of a scenario to the errors of its document, which was read without an error.
func (s *Scenario) check(d *tomlfile.Document) {
	checkDuration(d, "for", s.For, time.Second, MaxTime)
	checkNumber(d, "rate", s.Rate, 0.1, 100_000)
	checkNumber(d, "dispatchers", float64(s.Dispatchers), 1, MaxDispatchers)
	checkNumber(d, "uneven", s.Uneven, 0, 1)
	checkNumber(d, "burst.share", s.Burst.Share, 0, 1)
	if s.Burst.Share > 0 {
		checkNumber(d, "burst.size", float64(s.Burst.Size), 2, 10_000)
	}
	if n := s.Rate * s.For.Seconds(); n > MaxRequests {
		d.AddErrorf("rate", "too many requests: %.0f in total, the maximum is %d; lower \"rate\" or \"for\"", n, MaxRequests)
	}
	checkNumber(d, "limits.cores", s.Limits.Cores, 0.01, 256)
	checkNumber(d, "limits.memory_mb", float64(s.Limits.MemoryMB), 32, 65536)
	checkNumber(d, "limits.sockets", float64(s.Limits.Sockets), 64, 1<<20)
	checkNames(d, "zones", s.Zones)
	if len(s.Zones) == 0 {
		d.AddErrorf("zones", "missing value: at least one zone is required")
	}
	s.checkTerms(d)
	checkDuration(d, "list.lag", s.List.Lag, 0, time.Minute)
	checkDuration(d, "list.jitter", s.List.Jitter, 0, time.Minute)
	checkNumber(d, "list.keep", float64(s.List.Keep), 1, 1<<20)
	checkNumber(d, "clients.retries", float64(s.Clients.Retries), 0, 20)
	checkDuration(d, "clients.retry_wait", s.Clients.RetryWait, 0, time.Minute)
	checkNumber(d, "clients.obedient", s.Clients.HonorRetryAfterShare, 0, 1)
	checkNumber(d, "clients.leave", s.Clients.LeaveShare, 0, 1)
	s.checkClasses(d)
	s.checkTenants(d)
	s.checkWorkers(d)
	if len(s.Faults) > maxFaults {
		d.AddErrorf("fault", "too many faults: %d, the maximum is %d", len(s.Faults), maxFaults)
		return
	}
	for i := range s.Faults {
		s.checkFault(d, i)
	}
}

// checkDuration checks that a duration is within a range.
func checkDuration(d *tomlfile.Document, key string, v, minimum, maximum time.Duration) {
	if v < minimum || v > maximum {
		d.AddErrorf(key, "invalid value %v: must be between %v and %v", v, minimum, maximum)
	}
}

// checkNumber checks that a number is within a range; NaN is not.
func checkNumber(d *tomlfile.Document, key string, v, minimum, maximum float64) {
	if !(v >= minimum && v <= maximum) {
		d.AddErrorf(key, "invalid value %v: must be between %v and %v", v, minimum, maximum)
	}
}

// checkOneOf checks that a string is one of the allowed ones.
func checkOneOf(d *tomlfile.Document, key, v string, allowed ...string) {
	if !slices.Contains(allowed, v) {
		d.AddErrorf(key, "invalid value %q: must be one of %s", v, strings.Join(allowed, ", "))
	}
}

// checkNames checks that names are well-formed and unique.
func checkNames(d *tomlfile.Document, key string, names []string) {
	known := map[string]bool{}
	for i, n := range names {
		checkName(d, fmt.Sprintf("%s[%d]", key, i), n, known)
	}
}

// checkName checks that a name is well-formed and not in known, and adds it to known.
func checkName(d *tomlfile.Document, key, n string, known map[string]bool) {
	isWellFormed := n != "" && len(n) <= 64 && strings.Trim(n, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") == ""
	switch {
	case !isWellFormed:
		d.AddErrorf(key, "invalid name %q: must be 1 to 64 letters, digits, - or _", n)
	case known[n]:
		d.AddErrorf(key, "duplicate name %q", n)
	}
	known[n] = true
}

func (s *Scenario) checkTerms(d *tomlfile.Document) {
	t := &s.Terms
	checkNumber(d, "terms.attempts", float64(t.Attempts), 1, 64)
	checkDuration(d, "terms.drain_grace", t.DrainGrace, 0, time.Minute)
	checkNumber(d, "terms.cold_from", t.SlowStartMinFactor, 0.01, 1)
	checkDuration(d, "terms.warm_within", t.SlowStartWindow, 0, time.Hour)
	checkNumber(d, "terms.fall_multiple", t.OverloadMultiple, 1, 100)
	checkDuration(d, "terms.fall_window", t.OverloadWindow, 100*time.Millisecond, time.Minute)
	checkDuration(d, "terms.most_retry_after", t.MaxRetryAfter, 0, time.Minute)
	checkDuration(d, "terms.connect_timeout", t.ConnectTimeout, time.Millisecond, time.Minute)
	checkDuration(d, "terms.idle_close", t.IdleClose, time.Second, time.Hour)
	checkDuration(d, "terms.progress", t.Progress, 0, time.Minute)
	checkNumber(d, "terms.over_share_worth", t.OverQuotaWeight, 0, 1)
}

func (s *Scenario) checkClasses(d *tomlfile.Document) {
	if len(s.Classes) == 0 || len(s.Classes) > maxClasses {
		d.AddErrorf("class", "invalid number of [[class]] tables %d: must be between 1 and %d", len(s.Classes), maxClasses)
	}
	names, sum := map[string]bool{}, 0.0
	for i := range s.Classes {
		c, at := &s.Classes[i], fmt.Sprintf("class[%d].", i)
		checkName(d, at+"name", c.Name, names)
		s.checkClass(d, at, c)
		sum += c.Share
	}
	if len(s.Classes) > 0 && !(sum > 0) {
		d.AddErrorf("class", "invalid sum of shares %v: must be greater than 0", sum)
	}
}

// checkClass checks one class; at is the prefix of its keys.
func (s *Scenario) checkClass(d *tomlfile.Document, at string, c *Class) {
	checkOneOf(d, at+"effect", c.Effect, Safe, Keyed, Unsafe)
	checkNumber(d, at+"share", c.Share, 0, 1e6)
	checkDuration(d, at+"work", c.Work, time.Microsecond, time.Hour)
	checkNumber(d, at+"spread", c.Spread, 0, 3)
	checkDuration(d, at+"aim", c.LatencyObjective, 0, time.Hour)
	checkNumber(d, at+"stretch", c.Stretch, 0, 1000)
	checkDuration(d, at+"patience", c.Deadline, 10*time.Millisecond, time.Hour)
	checkNumber(d, at+"worth", c.PriorityWeight, 0.001, 1e6)
	checkNumber(d, at+"late_worth", c.LateWeight, 0, 1)
	checkOneOf(d, at+"group", c.Group, "all", "zone", "cell")
	checkDuration(d, at+"window", c.Window, 0, time.Hour)
	if c.Effect == Keyed && c.Window == 0 {
		d.AddErrorf(at+"window", "missing value: a keyed class needs the time for which duplicates are dropped")
	}
	checkNumber(d, at+"slots", float64(c.Slots), 1, 1024)
	checkNumber(d, at+"memory", c.Memory, 0, 1<<20)
	checkOneOf(d, at+"retry", c.Retry, RetryAny, RetryRefused, RetryNone)
	if len(c.Body) != 2 || c.Body[0] < 0 || c.Body[1] < c.Body[0] || c.Body[1] > maxBody {
		d.AddErrorf(at+"body", "invalid value %v: must be the minimum and the maximum number of bytes, between 0 and %d", c.Body, maxBody)
	}
	if c.LatencyObjective+time.Duration(c.Stretch*float64(c.Work)) > c.Deadline {
		d.AddErrorf(at+"patience", "invalid value %v: must be at least aim plus stretch times work, which are %v, %v and %v", c.Deadline, c.LatencyObjective, c.Stretch, c.Work)
	}
	if c.Kind != "" && !slices.ContainsFunc(s.Workers, func(w WorkerPool) bool { return w.Kind == c.Kind }) {
		d.AddErrorf(at+"kind", "unknown kind %q: must be the kind of a [[workers]] table", c.Kind)
	}
	fits := func(w WorkerPool) bool { return w.Cores >= c.Slots && w.Memory >= c.Memory }
	if len(s.Workers) > 0 && !slices.ContainsFunc(s.Workers, fits) {
		d.AddErrorf(at+"slots", "no worker can run a job with %d slots and %v units of memory", c.Slots, c.Memory)
	}
}

func (s *Scenario) checkTenants(d *tomlfile.Document) {
	if len(s.Tenants) > maxTenants {
		d.AddErrorf("tenant", "too many tenants: %d, the maximum is %d", len(s.Tenants), maxTenants)
	}
	names, sum := map[string]bool{}, 0.0
	for i, t := range s.Tenants {
		at := fmt.Sprintf("tenant[%d].", i)
		checkName(d, at+"name", t.Name, names)
		checkNumber(d, at+"share", t.Share, 0, 1)
		checkNumber(d, at+"quota", t.Quota, 0, 1e9)
		sum += t.Share
	}
	if len(s.Tenants) > 0 && (sum < 0.999 || sum > 1.001) {
		d.AddErrorf("tenant", "invalid sum of shares %.3f: must be 1", sum)
	}
}

func (s *Scenario) checkWorkers(d *tomlfile.Document) {
	if len(s.Workers) == 0 {
		d.AddErrorf("workers", "missing table: at least one [[workers]] is required")
	}
	for i, w := range s.Workers {
		at := fmt.Sprintf("workers[%d].", i)
		checkName(d, at+"kind", w.Kind, map[string]bool{}) // several pools may have the same kind
		checkNumber(d, at+"count", float64(w.Count), 1, MaxWorkers)
		checkNumber(d, at+"cores", float64(w.Cores), 1, 1024)
		if len(w.Speed) != 2 || !(w.Speed[0] > 0) || w.Speed[1] < w.Speed[0] || w.Speed[1] > 1000 {
			d.AddErrorf(at+"speed", "invalid value %v: must be the minimum and the maximum speed, greater than 0 and at most 1000", w.Speed)
		}
		checkNumber(d, at+"memory", w.Memory, 0, 1<<20)
		checkNumber(d, at+"queue", float64(w.Queue), 1, 1<<20)
		if w.Zone != "" && !slices.Contains(s.Zones, w.Zone) {
			d.AddErrorf(at+"zone", "unknown zone %q: must be one of zones", w.Zone)
		}
	}
	if n := s.WorkerCount(); n > MaxWorkers {
		d.AddErrorf("workers", "too many workers: %d in total, the maximum is %d", n, MaxWorkers)
	}
}

func (s *Scenario) checkFault(d *tomlfile.Document, i int) {
	f, at := &s.Faults[i], fmt.Sprintf("fault[%d].", i)
	kind, ok := findFaultKind(f.Kind)
	if !ok {
		allowed := make([]string, 0, len(FaultKinds))
		for _, k := range FaultKinds {
			allowed = append(allowed, k.Kind)
		}
		checkOneOf(d, at+"kind", f.Kind, allowed...)
		return
	}
	if f.At < 0 || f.At >= s.For {
		d.AddErrorf(at+"at", "invalid value %v: must be at least 0 and less than the duration of the run, %v", f.At, s.For)
	}
	if kind.HasDuration && f.For <= 0 {
		d.AddErrorf(at+"for", "invalid value %v: must be greater than 0 for %s", f.For, f.Kind)
	}
	for _, key := range kind.Needs {
		switch key {
		case "factor":
			checkNumber(d, at+"factor", f.Factor, 0.01, 1000)
		case "share":
			checkNumber(d, at+"share", f.Share, 0.001, 1)
		case "count":
			checkNumber(d, at+"count", float64(f.Count), 1, 10_000)
		case "tenant":
			if !slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == f.Tenant }) {
				d.AddErrorf(at+"tenant", "unknown tenant %q", f.Tenant)
			}
		}
	}
	checkNumber(d, at+"workers", f.Workers, 0, MaxWorkers)
	for k, n := range f.Names {
		if !slices.Contains(s.WorkerNames(), n) {
			d.AddErrorf(fmt.Sprintf("%snames[%d]", at, k), "unknown worker %q: must be w1 to w%d", n, s.WorkerCount())
		}
	}
	for k, n := range f.Dispatchers {
		if n < 0 || n >= s.Dispatchers {
			d.AddErrorf(fmt.Sprintf("%sdispatchers[%d]", at, k), "unknown dispatcher %d: must be between 0 and %d", n, s.Dispatchers-1)
		}
	}
}

// WorkerNames returns the names of all workers, by index.
func (s *Scenario) WorkerNames() []string {
	out := make([]string, s.WorkerCount())
	for i := range out {
		out[i] = fmt.Sprintf("w%d", i+1)
	}
	return out
}
