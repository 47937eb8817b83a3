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

	"birchfork/internal/goldentest"
)

// goldenName has characters that are not safe in a path.
const goldenName = "edge 1/ü"

// futureMicros is a time in the far future, so that the version of a newer override is one microsecond later and not the clock's time.
const futureMicros = 9_000_000_000_000_000

// goldenDir returns the only entry of dir, which is the shared directory.
func goldenDir(t *testing.T, dir string) string {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "*"))
	if err != nil || len(all) != 1 {
		t.Fatalf("%v, %v", all, err)
	}
	return all[0]
}

// TestGolden_Files checks the names of the directory and its files, their modes, and the contents of a claim in each state.
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
	mark(t, p.MarkServing)
	fmt.Fprintf(&out, "claim while it serves: %q\n", claim())
	mark(t, p.MarkLeaving)
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
		for _, entry := range entries {
			info, err := entry.Info()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "  %s %v\n", number.ReplaceAllString(entry.Name(), "process-NUMBER-PID"), info.Mode())
		}
	}
	info, err := os.Stat(shared)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "%s %v\n", filepath.Base(shared), info.Mode())
	names()
	p.Close()
	fmt.Fprintln(&out, "after its end")
	names()
	goldentest.Check(t, "files.txt", out.Bytes())
}

// goldenOverrides are the overrides of testdata/golden/hand.
var goldenOverrides = Overrides{
	"w-1":     {Disabled: true, At: futureMicros + 1},
	"w-2":     {Disabled: false, At: futureMicros + 12},
	"a/b <ü>": {Disabled: true, At: futureMicros + 21},
}

// TestGolden_Overrides checks the file of the operators' overrides, written and read.
func TestGolden_Overrides(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, goldenName)
	path := filepath.Join(goldenDir(t, dir), "hand")
	before := fmt.Sprintf(`{"format":"birchfork hand 1","dispatcher":%q,"runners":{"w-1":{"out":false,"at":%d},"w-2":{"out":true,"at":%d},"a/b <ü>":{"out":false,"at":%d}}}`,
		goldenName, futureMicros, futureMicros+11, futureMicros+20)
	writeTestFile(t, path, before)
	for _, name := range slices.Sorted(maps.Keys(goldenOverrides)) {
		if _, err := p.SetOverride(name, goldenOverrides[name].Disabled); err != nil {
			t.Fatal(err)
		}
	}
	goldentest.Check(t, "hand", mustRead(t, path))

	dir = t.TempDir()
	p = open(t, dir, goldenName)
	writeTestFile(t, filepath.Join(goldenDir(t, dir), "hand"), string(mustRead(t, "testdata/golden/hand")))
	if overrides, err := p.Sync(); err != nil || !maps.Equal(overrides, goldenOverrides) {
		t.Errorf("read %v, %v", overrides, err)
	}
}

// TestGolden_Endpoints checks the file of the newest endpoint list, written and read.
func TestGolden_Endpoints(t *testing.T) {
	dir := t.TempDir()
	list := `{"index":7,"endpoints":[{"name":"<ü>"}]}`
	if err := open(t, dir, goldenName).SaveEndpoints(json.RawMessage(list)); err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "list", mustRead(t, filepath.Join(goldenDir(t, dir), "list")))

	dir = t.TempDir()
	p := open(t, dir, goldenName)
	writeTestFile(t, filepath.Join(goldenDir(t, dir), "list"), string(mustRead(t, "testdata/golden/list")))
	var got, want any
	raw, err := p.Endpoints()
	if err != nil {
		t.Fatal(err)
	}
	if json.Unmarshal(raw, &got) != nil || json.Unmarshal([]byte(list), &want) != nil || fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("read %s", raw)
	}
}

// TestGolden_Claims reads claims in the format of earlier builds: which processes are alive and serve, and which are newer.
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
		writeTestFile(t, paths[0], c.state) // written in place: the lock remains
		if got := p.Siblings(); got != c.want {
			t.Errorf("%s: %+v, want %+v", strings.TrimSpace(c.state), got, c.want)
		}
	}
}
