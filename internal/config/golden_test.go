package config

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchfork/dispatch"
)

// Files in testdata/golden hold what an operator's file comes to, as `check --explain` prints it and as the settings that
// it makes, and the text of every fault. UPDATE_GOLDEN=1 writes them.

// goldenPlatform is a platform with a group that every-key.toml can name.
func goldenPlatform() Platform {
	p := platform()
	p.Name = "d1"
	return p
}

func TestGolden_Explain(t *testing.T) {
	for _, path := range []string{"../../deploy/operator.toml", "../../deploy/operator-lab.toml", "testdata/every-key.toml"} {
		name := strings.TrimSuffix(filepath.Base(path), ".toml")
		plan, err := Load(path, goldenPlatform())
		if err != nil {
			t.Fatal(err)
		}
		if plan.Path != path {
			t.Errorf("path %q, not %q", plan.Path, path)
		}
		var explained, settings bytes.Buffer
		if err := plan.Explain(&explained); err != nil {
			t.Fatal(err)
		}
		compareGolden(t, "explain-"+name+".txt", explained.Bytes())
		if strings.HasPrefix(path, "testdata/") { // the comments of the samples may change
			fmt.Fprintf(&settings, "digest %s\n", plan.Digest)
		}
		writePlan(&settings, plan)
		compareGolden(t, "plan-"+name+".txt", settings.Bytes())
	}
}

// every-key.toml has to set every key, so that its golden files show each.
func TestGolden_EveryKeyIsSet(t *testing.T) {
	raw, err := os.ReadFile("testdata/every-key.toml")
	if err != nil {
		t.Fatal(err)
	}
	text := "\n" + string(raw)
	for _, key := range append([]string{"concurrent", "adaptive", "least", "keys", "drain_grace", "warm_within", "fall_multiple", "cold_from", "name",
		"plans", "lease", "folder", "link", "zone", "voter", "weight", "class", "path", "tenant", "method", "fallback"}, figureKeys...) {
		if !strings.Contains(text, "\n"+key+" = ") {
			t.Errorf("every-key.toml does not set %s", key)
		}
	}
}

// writePlan writes each field of a plan under a name that no renaming of the field changes.
func writePlan(w io.Writer, p *Plan) {
	s := &p.Settings
	fmt.Fprintf(w, "drain grace %d, warm within %d, fall multiple %v, cold from %v\n", s.DrainGrace, s.WarmWithin, s.FallMultiple, s.ColdFrom)
	l := &p.Limits
	fmt.Fprintf(w, "open %d, adaptive %v, least %d, keys %d\n", l.Open, l.Adaptive, l.Least, l.Keys)
	for _, t := range l.Tenants {
		fmt.Fprintf(w, "tenant %s: weight %v\n", t.Name, t.Weight)
	}
	for i := range p.Table.Len() {
		r := p.Table.Route(i)
		fmt.Fprintf(w, "route %d %q: class %q, path %q, tenant %q, method %q, fallback %d, chain %v\n",
			i, r.Name, r.Match.Class, r.Match.Path, r.Match.Tenant, r.Match.Method, r.Fallback, p.Table.Chain(i))
		writeRouteLimits(w, "own", r.Narrow)
		writeRouteLimits(w, "with fallbacks", p.Table.Narrow(i, s.MaxAttempts))
		a := &l.Routes[i]
		fmt.Fprintf(w, "\tadmission %q: limited %v, rate %v, burst %d, by %d, concurrent %d, queue %d, budgeted %v, budget %v, floor %v, priority %d, retry after %v\n",
			a.Name, a.Limited, a.Rate, a.Burst, a.By, a.Concurrent, a.Queue, a.Budgeted, a.Budget, a.Floor, a.Priority, a.ComeBack)
	}
	if g := p.Group; g != nil {
		fmt.Fprintf(w, "group %q: plans %v, lease %v, folder %q\n", g.Name, g.Plans, g.Lease, g.Folder)
		for _, m := range g.Peers {
			fmt.Fprintf(w, "\tmember %q: link %q, zone %q, voter %v\n", m.Name, m.Link, m.Zone, m.Voter)
		}
	}
}

func writeRouteLimits(w io.Writer, what string, n dispatch.Narrow) {
	fmt.Fprintf(w, "\t%s: timeout %d, attempt timeout %d, hold %d, attempts %d, single %v, hedge after %d, strict %v, window %d, backoff %d, backoff at most %d, jitter %v\n",
		what, n.Within, n.Wait, n.Hold, n.Attempts, n.Single, n.Race, n.Strict, n.Window, n.Pause, n.MaxPause, n.Jitter)
}

func TestGolden_Faults(t *testing.T) {
	route := func(s string) string { return "[[route]]\nname = \"r\"\n" + s }
	member := func(name, link string, voter bool) string {
		return fmt.Sprintf("[[group.member]]\nname=%q\nlink=%q\nvoter=%v\n", name, link, voter)
	}
	var manyRoutes strings.Builder
	for i := range mostRoutes + 1 {
		fmt.Fprintf(&manyRoutes, "[[route]]\nname='r%d'\n", i)
	}
	files := faultyFiles()
	for _, file := range []string{
		faultyGroup(),
		"[group]\n", "[group]\nname='g'\nlease='10ms'\n" + member("d0", "10.0.0.1:0", true) + member("d1", "10.0.0.1:65536", false),
		"[group]\nname='g'\n" + strings.Repeat(member("d", "10.0.0.1:1", false), membersMost+1),
		"[[class]]\n", "[[tenant]]\nweight=1", "[[route]]\npath='/'", "[[class]]\nname='booking'\n[[class]]\nname='booking'",
		"[[tenant]]\nname='navetta-lago'\n[[tenant]]\nname='navetta-lago'", "[[tenant]]\nname='x'", "[[tenant]]\nname='navetta-lago'\nweight=2000000",
		"[[route]]\nname='rest'", manyRoutes.String(),
		"[platform]\ndrain_grace='-1ms'", "[platform]\nwarm_within='2h'", "[platform]\nfall_multiple=0.5", "[platform]\ncold_from=0",
		"[total]\nconcurrent=2000", "[total]\nconcurrent=-1", "[total]\nconcurrent=10\nadaptive=true\nleast=0", "[total]\nconcurrent=10\nleast=2",
		"[total]\nkeys=0", "[total]\nleast=2",
		"[default]\ntimeout='2h'", "[default]\nattempt_timeout='0s'", "[default]\nhold='-1s'", "[default]\nhedge_after='-1s'", "[[class]]\nname='booking'\nrepeat_within='0s'",
		"[default]\nbackoff='-1s'", "[default]\nbackoff='1s'\nbackoff_most='-1s'", "[default]\nretry_after='-1s'", "[default]\nbackoff='10ms'\njitter=1.5",
		"[default]\nrate=1e10", "[default]\nrate=1\nburst=0", "[default]\nconcurrent=0", "[default]\nqueue=-5", "[default]\nqueue=2000000", "[default]\npriority=-1",
		"[default]\nretry_budget=0.1\nretry_floor=-1", "[default]\nretry_budget=-0.1", "[default]\nrepeat='always'", "[default]\nrate_by='key'",
		"[default]\nbackoff_most='1s'", "[default]\nsecond_copies=false\nhedge_after='100ms'", "[default]\nhedge_after='100ms'", "[default]\nrepeat_within='1s'",
		route("class='tickets'\npath='/tickets/'"), route("path='/journey-search'\ntenant='x'\nmethod='GET'\nrepeat='any'\nattempts=9"),
		route("class='journey-search'\nfallback='s'") + "\n[[route]]\nname='s'\nclass='journey-search'\npath='/journey-search/a'\nfallback='t'\n" +
			"[[route]]\nname='t'\nclass='journey-search'\npath='/journey-search/b'\nfallback='u'\n[[route]]\nname='u'\nclass='journey-search'\npath='/journey-search/c'\nfallback='v'\n" +
			"[[route]]\nname='v'\nclass='journey-search'\npath='/journey-search/d'\n",
		"[default]\nattempts='x'\n[[route]]\nname=3\n[totl]\nkeys=1",
		"[default]\nattempts = ",
	} {
		files = append(files, faultyFile{file: file})
	}
	var out bytes.Buffer
	check := func(title, file string, p Platform) {
		_, err := Decode("dir/operator.toml", []byte(file), p)
		if err == nil {
			t.Errorf("no fault: %s", title)
			return
		}
		fmt.Fprintf(&out, "%s\n\t%s\n", title, strings.ReplaceAll(err.Error(), "\n", "\n\t"))
	}
	for _, f := range files {
		check(fmt.Sprintf("%.300q", f.file), f.file, goldenPlatform())
	}
	p := goldenPlatform()
	p.Settings.SecondCopies, p.Settings.RetryAfter, p.Settings.MaxRetryAfter = false, false, 0
	p.Tenants = nil
	check("a platform without second copies, Retry-After and tenants", "[[class]]\nname='journey-search'\nsecond_copies=true\nretry_after='1s'\n[[tenant]]\nname='x'\n[[route]]\nname='r'\ntenant='y'", p)
	if _, err := Load("testdata/missing.toml", p); err == nil {
		t.Error("a missing file was loaded")
	} else {
		fmt.Fprintf(&out, "a missing file\n\t%v\n", err)
	}
	compareGolden(t, "faults.txt", out.Bytes())
}

// compareGolden compares got with testdata/golden/name. With UPDATE_GOLDEN=1 in the environment it writes the file instead.
func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("%v: UPDATE_GOLDEN=1 writes it", err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s:%d: got\n%s\nwant\n%s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: got %d lines, want %d", path, len(gotLines), len(wantLines))
}
