// Package settings decodes what a dispatcher is told at its start, and names what it meets: both the bench's wire and
// the sockets use it. It decides nothing.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"birchfork/dispatch"
)

// Pairs are settings as path=value. Unknown paths stay unread.
type Pairs struct {
	m    map[string]string
	errs []error
}

// ParsePairs reads pairs that are set apart by tabs.
func ParsePairs(rest []byte) (*Pairs, error) {
	p := &Pairs{m: map[string]string{}}
	for _, kv := range bytes.Split(rest, []byte{'\t'}) {
		if len(kv) == 0 || Absent(kv) {
			continue
		}
		i := bytes.IndexByte(kv, '=')
		if i <= 0 {
			return nil, fmt.Errorf("setting %q is not path=value", kv)
		}
		p.m[string(kv[:i])] = string(kv[i+1:])
	}
	return p, nil
}

// fail notes a malformed setting, once however often it is read.
func (p *Pairs) fail(key, want string) {
	err := fmt.Errorf("setting %s: %q is not %s", key, p.m[key], want)
	for _, e := range p.errs {
		if e.Error() == err.Error() {
			return
		}
	}
	p.errs = append(p.errs, err)
}

// Err names every malformed setting among those that have been read so far.
func (p *Pairs) Err() error { return errors.Join(p.errs...) }

// Text returns a setting, or def where it is missing.
func (p *Pairs) Text(key, def string) string {
	if v, ok := p.m[key]; ok && v != "-" {
		return v
	}
	return def
}

// Number returns a number, or def where it is missing.
func (p *Pairs) Number(key string, def float64) float64 {
	v := p.Text(key, "")
	if v == "" {
		return def
	}
	neg := v[0] == '-'
	if neg {
		v = v[1:]
	}
	n, ok := ParseNumber([]byte(v))
	if !ok || n > MaxSeconds {
		p.fail(key, "a number")
	}
	if neg {
		n = -n
	}
	return n
}

func (p *Pairs) time(key string, def dispatch.Time) dispatch.Time {
	return Seconds(p.Number(key, float64(def)/float64(dispatch.Second)))
}

// Whole returns a whole number, or def where it is missing.
func (p *Pairs) Whole(key string, def int) int {
	v := p.Text(key, "")
	if v == "" {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || n > 1e9 || n < -1e9 {
		p.fail(key, "a whole number")
	}
	return n
}

// Flag returns a switch, or def where it is missing.
func (p *Pairs) Flag(key string, def bool) bool {
	switch v := p.Text(key, ""); v {
	case "":
		return def
	case "true", "1":
		return true
	case "false", "0":
		return false
	default:
		p.fail(key, "true or false")
		return def
	}
}

func (p *Pairs) choice(key, def string, all ...string) int {
	v := p.Text(key, def)
	for i, a := range all {
		if v == a {
			return i
		}
	}
	p.fail(key, fmt.Sprintf("one of %v", all))
	return 0
}

// list splits a comma list; an absent or empty one has no items.
func (p *Pairs) list(key string) []string {
	v := p.Text(key, "")
	if v == "" {
		return nil
	}
	var out []string
	for _, s := range bytes.Split([]byte(v), []byte{','}) {
		out = append(out, string(s))
	}
	return out
}

func intern(m map[string]int, names []string) {
	for i, s := range names {
		m[s] = i
	}
}

// maxList bounds the lists in settings, so that a wrong count cannot take all memory.
const maxList = 10000

func (p *Pairs) count(key string) int {
	n := p.Whole(key, 0)
	if n < 0 || n > maxList {
		p.fail(key, fmt.Sprintf("a count from 0 to %d", maxList))
		return 0
	}
	return n
}

// Decode reads one dispatcher's settings and interns their names. Its error names every fault.
func Decode(p *Pairs, n *Names) (dispatch.Settings, error) {
	zones, kinds := p.list("zones"), p.list("machine_types")
	intern(n.zones, zones)
	intern(n.kinds, kinds)
	s := dispatch.Settings{
		OverShareWorth: p.Number("over_share_worth", 1),
		Zones:          len(zones),
		Kinds:          len(kinds),
		Zone:           -1,
		GroupSize:      p.Whole("group_size", 1),
		Ordinal:        p.Whole("ordinal", 0),
		CanTell:        p.Flag("policy_limits.peers", false),
		Tick:           p.time("tick", dispatch.Millisecond),
		MaxAttempts:    p.Whole("policy_limits.attempts_cap", 1),
		CanCancel:      p.Flag("policy_limits.cancel", false),
		SecondCopies:   p.Flag("policy_limits.second_copies", false),
		RetryAfter:     p.Flag("policy_limits.retry_after", false),
		MaxRetryAfter:  p.time("policy_limits.max_retry_after", 0),
		ConnectTimeout: p.time("policy_limits.connect_timeout", 0),
		ListOnRequest:  p.choice("registry_mode", "automatic", "automatic", "subscribe") == 1,
		Sized:          p.Text("weight_kind", "off") == "nominal" || p.Text("weight_kind", "off") == "rough",
		WeightsMove:    p.Text("weight_kind", "off") == "live",
		TellsStart:     p.Flag("extra.tells_start", false),
		Progress:       p.time("extra.progress", 0),
		AskWithin:      p.time("safety.ask_within", 10*dispatch.Second),
		DrainGrace:     p.time("safety.stop_sending_within", 0),
		ColdFrom:       p.Number("safety.cold_from", 1),
		WarmWithin:     p.time("safety.warm_within", 0),
		FallMultiple:   p.Number("safety.fall_multiple", 1),
		FallWindow:     p.time("safety.fall", 0),
		PriceWaste:     p.Number("prices.waste", 0),
		PriceFetch:     p.Number("prices.origin", 0),
		PriceLateFail:  p.Number("prices.late_fail", 0),
		PriceCross:     p.Number("prices.cross_zone", 0),
		IdleClose:      p.time("policy_limits.idle_close", 0),
	}
	if z, ok := n.zones[p.Text("zone", "")]; ok {
		s.Zone = z
	}
	stretch, kind := p.list("extra.class_stretch"), p.list("extra.class_kind")
	for i := range p.count("classes.count") {
		at := "classes." + strconv.Itoa(i) + "."
		c := dispatch.Class{
			Aim:       p.time(at+"aim", 0),
			Stretch:   p.Number(at+"aim_stretch", p.item("extra.class_stretch", stretch, i, 0)),
			Deadline:  p.time(at+"deadline", 0),
			Worth:     p.Number(at+"worth", 1),
			LateWorth: p.Number(at+"late_worth", 0),
			Effect:    dispatch.Effect(p.choice(at+"effect", "single_shot", "free", "guarded", "single_shot")),
			Group:     dispatch.Group(p.choice(at+"group", "cell", "all", "zone", "cell")),
			Window:    p.time(at+"window", 0),
			Kind:      int(p.item("extra.class_kind", kind, i, -1)),
		}
		n.classes[p.Text(at+"name", strconv.Itoa(i))] = i
		s.Classes = append(s.Classes, c)
	}
	for i := range p.count("customers.count") {
		at := "customers." + strconv.Itoa(i) + "."
		n.tenants[p.Text(at+"name", strconv.Itoa(i))] = i
		s.Tenants = append(s.Tenants, dispatch.Tenant{Quota: p.Number(at+"quota_rps", 0)})
	}
	return s, p.Err()
}

// item reads a number from a plain list that may be shorter than the classes.
func (p *Pairs) item(key string, list []string, i int, def float64) float64 {
	if i >= len(list) {
		return def
	}
	v, err := strconv.ParseFloat(list[i], 64)
	if err != nil || v != v || v > MaxSeconds || v < -MaxSeconds {
		p.fail(key, "a list of numbers")
	}
	return v
}
