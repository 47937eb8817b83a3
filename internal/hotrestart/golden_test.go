package hotrestart

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// golden compares got with a file of testdata/golden. Two builds of the program meet during an upgrade: what one writes the other has
// to read. UPDATE_GOLDEN=1 in the environment writes the files instead; do so only where the form is meant to change.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs:\n%s\nwant:\n%s", name, got, want)
	}
}

// goldenName has characters that do not go into a path.
const goldenName = "edge 1/ü"

// lateMicros is a time that no clock has reached: a newer override counts one microsecond more.
const lateMicros = 9_000_000_000_000_000

func goldenDir(t *testing.T, dir string) string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(all) != 1 {
		t.Fatalf("%v, %v", all, err)
	}
	return all[0]
}

func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// TestGolden_Files has the names of the folder and its files, their modes, and what a claim says in each state.
func TestGolden_Files(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, goldenName)
	shared := goldenDir(t, dir)
	var out bytes.Buffer
	claim := func() []byte {
		paths, err := filepath.Glob(filepath.Join(shared, "process-*"))
		if err != nil || len(paths) != 1 {
			t.Fatalf("%v, %v", paths, err)
		}
		return mustRead(t, paths[0])
	}
	fmt.Fprintf(&out, "claim at first: %q\n", claim())
	if err := p.MarkServing(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "claim while it serves: %q\n", claim())
	if err := p.MarkLeaving(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "claim while it leaves: %q\n", claim())
	if _, err := p.SetOverride("w", true); err != nil {
		t.Fatal(err)
	}
	if err := p.SaveEndpoints(json.RawMessage(`{}`)); err != nil {
		t.Fatal(err)
	}
	names := func() {
		entries, err := os.ReadDir(shared)
		if err != nil {
			t.Fatal(err)
		}
		number := regexp.MustCompile(fmt.Sprintf(`^process-%d-%d$`, p.ID(), os.Getpid()))
		for _, e := range entries {
			i, err := e.Info()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "  %s %v\n", number.ReplaceAllString(e.Name(), "process-NUMBER-PID"), i.Mode())
		}
	}
	i, err := os.Stat(shared)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%s %v\n", filepath.Base(shared), i.Mode())
	names()
	p.Close()
	fmt.Fprintln(&out, "after its end")
	names()
	golden(t, "files.txt", out.Bytes())
}

// goldenOverrides are those of testdata/golden/hand.
var goldenOverrides = Overrides{
	"w-1":     {Disabled: true, At: lateMicros + 1},
	"w-2":     {Disabled: false, At: lateMicros + 12},
	"a/b <ü>": {Disabled: true, At: lateMicros + 21},
}

// TestGolden_Overrides has the file of the operators' overrides, as it is written and as it is read.
func TestGolden_Overrides(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, goldenName)
	path := filepath.Join(goldenDir(t, dir), "hand")
	before := fmt.Sprintf(`{"format":"birchfork hand 1","dispatcher":%q,"runners":{"w-1":{"out":false,"at":%d},"w-2":{"out":true,"at":%d},"a/b <ü>":{"out":false,"at":%d}}}`,
		goldenName, lateMicros, lateMicros+11, lateMicros+20)
	if err := os.WriteFile(path, []byte(before), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(goldenOverrides)) {
		if _, err := p.SetOverride(name, goldenOverrides[name].Disabled); err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "hand", mustRead(t, path))

	dir = t.TempDir()
	p = open(t, dir, goldenName)
	if err := os.WriteFile(filepath.Join(goldenDir(t, dir), "hand"), mustRead(t, "testdata/golden/hand"), 0o600); err != nil {
		t.Fatal(err)
	}
	if overrides, err := p.Sync(); err != nil || !maps.Equal(overrides, goldenOverrides) {
		t.Errorf("read %v, %v", overrides, err)
	}
}

// TestGolden_Endpoints has the file of the newest list, as it is written and as it is read.
func TestGolden_Endpoints(t *testing.T) {
	dir := t.TempDir()
	list := `{"index":7,"endpoints":[{"name":"<ü>"}]}`
	if err := open(t, dir, goldenName).SaveEndpoints(json.RawMessage(list)); err != nil {
		t.Fatal(err)
	}
	golden(t, "list", mustRead(t, filepath.Join(goldenDir(t, dir), "list")))

	dir = t.TempDir()
	p := open(t, dir, goldenName)
	if err := os.WriteFile(filepath.Join(goldenDir(t, dir), "list"), mustRead(t, "testdata/golden/list"), 0o600); err != nil {
		t.Fatal(err)
	}
	var got, want any
	raw, err := p.Endpoints()
	if err != nil {
		t.Fatal(err)
	}
	if json.Unmarshal(raw, &got) != nil || json.Unmarshal([]byte(list), &want) != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("read %s", raw)
	}
}

// TestGolden_Claims reads claims that another build left: who is alive and serves, and which is newer.
func TestGolden_Claims(t *testing.T) {
	for _, c := range []struct {
		state string
		want  Siblings
	}{
		{"starting \n", Siblings{Alive: 1, Newer: true}},
		{"serving  \n", Siblings{Alive: 1, Serving: true, Newer: true}},
		{"leaving  \n", Siblings{Alive: 1, Newer: true}},
	} {
		dir := t.TempDir()
		p, other := open(t, dir, goldenName), open(t, dir, goldenName)
		paths, err := filepath.Glob(filepath.Join(goldenDir(t, dir), fmt.Sprintf("process-%d-*", other.ID())))
		if err != nil || len(paths) != 1 {
			t.Fatalf("%v, %v", paths, err)
		}
		if err := os.WriteFile(paths[0], []byte(c.state), 0o600); err != nil { // in place: its lock stays
			t.Fatal(err)
		}
		if got := p.Siblings(); got != c.want {
			t.Errorf("%s: %+v, want %+v", strings.TrimSpace(c.state), got, c.want)
		}
	}
}
