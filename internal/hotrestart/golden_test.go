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

func readFile(t *testing.T, path string) []byte {
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
		return readFile(t, paths[0])
	}
	fmt.Fprintf(&out, "claim at first: %q\n", claim())
	if err := p.Serving(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "claim while it serves: %q\n", claim())
	if err := p.Leaving(); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&out, "claim while it leaves: %q\n", claim())
	if _, err := p.Say("w", true); err != nil {
		t.Fatal(err)
	}
	if err := p.KeepList(json.RawMessage(`{}`)); err != nil {
		t.Fatal(err)
	}
	names := func() {
		entries, err := os.ReadDir(shared)
		if err != nil {
			t.Fatal(err)
		}
		number := regexp.MustCompile(fmt.Sprintf(`^process-%d-%d$`, p.Number(), os.Getpid()))
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

// goldenWords are those of testdata/golden/hand.
var goldenWords = Words{
	"w-1":     {Out: true, At: lateMicros + 1},
	"w-2":     {Out: false, At: lateMicros + 12},
	"a/b <ü>": {Out: true, At: lateMicros + 21},
}

// TestGolden_Hand has the file of the operators' overrides, as it is written and as it is read.
func TestGolden_Hand(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, goldenName)
	path := filepath.Join(goldenDir(t, dir), "hand")
	before := fmt.Sprintf(`{"format":"birchfork hand 1","dispatcher":%q,"runners":{"w-1":{"out":false,"at":%d},"w-2":{"out":true,"at":%d},"a/b <ü>":{"out":false,"at":%d}}}`,
		goldenName, lateMicros, lateMicros+11, lateMicros+20)
	if err := os.WriteFile(path, []byte(before), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(goldenWords)) {
		if _, err := p.Say(name, goldenWords[name].Out); err != nil {
			t.Fatal(err)
		}
	}
	golden(t, "hand", readFile(t, path))

	dir = t.TempDir()
	p = open(t, dir, goldenName)
	if err := os.WriteFile(filepath.Join(goldenDir(t, dir), "hand"), readFile(t, "testdata/golden/hand"), 0o600); err != nil {
		t.Fatal(err)
	}
	if words, err := p.Sync(); err != nil || !maps.Equal(words, goldenWords) {
		t.Errorf("read %v, %v", words, err)
	}
}

// TestGolden_List has the file of the newest list, as it is written and as it is read.
func TestGolden_List(t *testing.T) {
	dir := t.TempDir()
	list := `{"index":7,"endpoints":[{"name":"<ü>"}]}`
	if err := open(t, dir, goldenName).KeepList(json.RawMessage(list)); err != nil {
		t.Fatal(err)
	}
	golden(t, "list", readFile(t, filepath.Join(goldenDir(t, dir), "list")))

	dir = t.TempDir()
	p := open(t, dir, goldenName)
	if err := os.WriteFile(filepath.Join(goldenDir(t, dir), "list"), readFile(t, "testdata/golden/list"), 0o600); err != nil {
		t.Fatal(err)
	}
	var got, want any
	raw, err := p.List()
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
		want  Others
	}{
		{"starting \n", Others{Alive: 1, Newer: true}},
		{"serving  \n", Others{Alive: 1, Serving: true, Newer: true}},
		{"leaving  \n", Others{Alive: 1, Newer: true}},
	} {
		dir := t.TempDir()
		p, other := open(t, dir, goldenName), open(t, dir, goldenName)
		paths, err := filepath.Glob(filepath.Join(goldenDir(t, dir), fmt.Sprintf("process-%d-*", other.Number())))
		if err != nil || len(paths) != 1 {
			t.Fatalf("%v, %v", paths, err)
		}
		if err := os.WriteFile(paths[0], []byte(c.state), 0o600); err != nil { // in place: its lock stays
			t.Fatal(err)
		}
		if got := p.Others(); got != c.want {
			t.Errorf("%s: %+v, want %+v", strings.TrimSpace(c.state), got, c.want)
		}
	}
}
