// Package config reads the operator's file: what an operator wishes beside the platform's configuration. It can narrow
// what the rules and the platform allow and never widens it; a file that tries is refused whole, with every fault named.
// The platform's figures come from its own JSON, see internal/server.
package config

import (
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// Figures are what can be set by default, class, tenant and route. Which of them were set is told by the layers.
type Figures struct {
	Timeout        time.Duration `toml:"timeout"`
	AttemptTimeout time.Duration `toml:"attempt_timeout"`
	Hold           time.Duration `toml:"hold"`
	Attempts       int           `toml:"attempts"`
	SecondCopies   bool          `toml:"second_copies"`
	HedgeAfter     time.Duration `toml:"hedge_after"`
	Repeat         string        `toml:"repeat"`
	RepeatWithin   time.Duration `toml:"repeat_within"`
	Backoff        time.Duration `toml:"backoff"`
	BackoffMost    time.Duration `toml:"backoff_most"`
	Jitter         float64       `toml:"jitter"`
	RetryBudget    float64       `toml:"retry_budget"`
	RetryFloor     float64       `toml:"retry_floor"`
	Concurrent     int           `toml:"concurrent"`
	Queue          int           `toml:"queue"`
	Rate           float64       `toml:"rate"`
	Burst          int           `toml:"burst"`
	RateBy         string        `toml:"rate_by"`
	Priority       int           `toml:"priority"`
	RetryAfter     time.Duration `toml:"retry_after"`
}

// What may be sent again.
const (
	RepeatLawful = "lawful" // whatever the class allows
	RepeatUnrun  = "unrun"  // only what is known not to have run
	RepeatAny    = "any"    // also what may have run: for safe classes the same as lawful
)

// file is the operator's file as it is written.
type file struct {
	Total struct {
		Concurrent int  `toml:"concurrent"`
		Adaptive   bool `toml:"adaptive"`
		Least      int  `toml:"least"`
		Keys       int  `toml:"keys"`
	} `toml:"total"`
	Platform struct {
		DrainGrace   time.Duration `toml:"drain_grace"`
		WarmWithin   time.Duration `toml:"warm_within"`
		FallMultiple float64       `toml:"fall_multiple"`
		ColdFrom     float64       `toml:"cold_from"`
	} `toml:"platform"`
	Group   groupPart `toml:"group"`
	Default Figures   `toml:"default"`
	Classes []class   `toml:"class"`
	Tenants []tenant  `toml:"tenant"`
	Routes  []route   `toml:"route"`
}

type class struct {
	Name string `toml:"name"`
	Figures
}

type tenant struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Figures
}

type route struct {
	Name     string `toml:"name"`
	Class    string `toml:"class"`
	Path     string `toml:"path"`
	Tenant   string `toml:"tenant"`
	Method   string `toml:"method"`
	Fallback string `toml:"fallback"`
	Figures
}

// Platform is what the platform's configuration says, as far as the operator's file has to agree with it.
type Platform struct {
	Name     string // of this dispatcher
	Settings dispatch.Settings
	Classes  []string // their names, by their number
	Tenants  []string
	Clients  int   // connections from clients that requests can be taken from
	Memory   int64 // bytes
}

// Plan is a file that has passed all checks.
type Plan struct {
	Path     string
	Table    *routes.Table
	Limits   admission.Config
	Settings dispatch.Settings // the platform's, narrowed
	Lines    []Line            // what is in force, for people
	Group    *Group            // nil: it is in none
	Digest   string            // of the file's text
}

// Line is one figure in force.
type Line struct {
	Route, Key, Value, From string
}

// Names of the layers.
const (
	fromPlatform = "platform"
	restName     = "rest" // the route for what no other matches
)

// Load reads and checks an operator's file. Its error names every fault, a line each.
func Load(path string, p Platform) (*Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, tomlfile.SizeMost+1))
	if err != nil {
		return nil, fmt.Errorf("reading the operator's file: %w", err)
	}
	plan, err := Decode(path, raw, p)
	if err != nil {
		return nil, err
	}
	plan.Path, plan.Digest = path, fmt.Sprintf("%016x", xxhash.Sum64(raw))
	return plan, nil
}

// Decode reads and checks an operator's file.
func Decode(name string, raw []byte, p Platform) (*Plan, error) {
	var f file
	d := tomlfile.Read(name, raw, &f)
	if len(d.Faults()) > 0 {
		return nil, d.Err() // what could not be read would look missing
	}
	c := &checker{doc: d, file: &f, p: p}
	plan := c.plan()
	if err := d.Err(); err != nil {
		return nil, err
	}
	return plan, nil
}

// layer is one place where figures can be set.
type layer struct {
	key     string // in the file, such as route[0]; empty: none
	name    string // for people
	figures *Figures
}

// value is a figure in force with where it comes from.
type value struct {
	layer layer
	set   bool
}

// effective are the figures in force for one kind of request.
type effective struct {
	Figures
	from map[string]value // by key
}

// key is where a figure stands in the file, to name it in a fault.
func (e *effective) key(name string) string {
	if v := e.from[name]; v.set {
		return v.layer.key + "." + name
	}
	return name
}

// set tells whether anybody set a figure.
func (e *effective) set(name string) bool { return e.from[name].set }

// figureKeys are the keys of Figures in their order.
var figureKeys = func() (out []string) {
	t := reflect.TypeFor[Figures]()
	for i := range t.NumField() {
		out = append(out, t.Field(i).Tag.Get("toml"))
	}
	return out
}()

// over lays layers over each other, the last one on top.
func (c *checker) over(layers ...layer) *effective {
	e := &effective{from: map[string]value{}}
	out := reflect.ValueOf(&e.Figures).Elem()
	for _, l := range layers {
		if l.figures == nil {
			continue
		}
		in := reflect.ValueOf(l.figures).Elem()
		for i, key := range figureKeys {
			if c.doc.Has(l.key + "." + key) {
				out.Field(i).Set(in.Field(i))
				e.from[key] = value{l, true}
			}
		}
	}
	return e
}

// lines are the figures in force for people.
func (e *effective) lines(route string, p *Platform, class *dispatch.Class) (out []Line) {
	v := reflect.ValueOf(&e.Figures).Elem()
	for i, key := range figureKeys {
		from := e.from[key]
		if from.set {
			out = append(out, Line{route, key, fmt.Sprint(v.Field(i).Interface()), from.layer.name})
			continue
		}
		word := "no limit"
		switch key {
		case "timeout":
			word = "the client's own, " + micro(class.Deadline) + " at the most"
		case "attempt_timeout":
			word = "as long as the client waits"
		case "attempts":
			word = fmt.Sprint(p.Settings.MaxAttempts)
		case "second_copies":
			word = fmt.Sprint(p.Settings.SecondCopies && class.Effect == dispatch.Safe)
		case "repeat":
			word = RepeatLawful + ": " + effectWord(class.Effect)
		case "repeat_within":
			word = "-"
			if class.Effect == dispatch.Keyed {
				word = micro(class.Window)
			}
		case "hold":
			word = "as long as the answer can be in time"
		case "hedge_after", "backoff", "backoff_most", "jitter", "priority", "burst", "retry_after":
			word = "0"
		case "rate_by":
			word = byRoute
		}
		out = append(out, Line{route, key, word, fromPlatform})
	}
	return out
}

func effectWord(e dispatch.Effect) string {
	return [...]string{"safe to repeat", "keyed: repeats are dropped within its group and window", "must never run twice"}[e]
}

func micro(t dispatch.Time) string { return (time.Duration(t) * time.Microsecond).String() }

// Explain prints what is in force, and where each figure comes from.
func (p *Plan) Explain(w io.Writer) error {
	last := ""
	var errs []error
	for _, l := range p.Lines {
		if l.Route != last {
			_, err := fmt.Fprintf(w, "%s\n", l.Route)
			errs = append(errs, err)
			last = l.Route
		}
		_, err := fmt.Fprintf(w, "  %-16s %-44s %s\n", l.Key, l.Value, l.From)
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}

// quoted lists names for a message.
func quoted(names []string) string {
	if len(names) == 0 {
		return "there are none"
	}
	return strings.Join(names, ", ")
}
