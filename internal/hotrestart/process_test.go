package hotrestart

import (
	"encoding/json"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

func open(t *testing.T, dir, name string) *Process {
	t.Helper()
	p, err := Open(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func expectOverrides(t *testing.T, p *Process, want map[string]bool) {
	t.Helper()
	overrides, err := p.Sync()
	actual := map[string]bool{}
	for name, override := range overrides {
		actual[name] = override.Disabled
	}
	if err != nil || !maps.Equal(actual, want) {
		t.Errorf("out: %v, %v, want %v", actual, err, want)
	}
}

// Either process may be asked; each hears the other, and what was said outlives both.
func TestOverrides_SharedAndPersistent(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "n"), open(t, dir, "n")
	set := func(p *Process, worker string, disabled bool) {
		t.Helper()
		if _, err := p.SetOverride(worker, disabled); err != nil {
			t.Fatal(err)
		}
	}
	expectOverrides(t, a, map[string]bool{})
	set(a, "x", true)
	set(b, "y", true)
	expectOverrides(t, a, map[string]bool{"x": true, "y": true})
	expectOverrides(t, b, map[string]bool{"x": true, "y": true})
	set(b, "x", true) // twice out, once back
	set(a, "x", false)
	expectOverrides(t, b, map[string]bool{"x": false, "y": true})
	if override, err := b.SetOverride("z", false); err != nil || override != (Override{}) {
		t.Errorf("one that was never out is put back: %v, %v", override, err)
	}
	a.Close()
	b.Close()
	expectOverrides(t, open(t, dir, "n"), map[string]bool{"x": false, "y": true})
	expectOverrides(t, open(t, dir, "other"), map[string]bool{})
}

// The newest word on each runner counts, whoever has it: clocks that stand still or step back change nothing.
func TestOverrides_NewestWins(t *testing.T) {
	overrides := Overrides{"a": {true, 5}, "b": {true, 5}}
	if overrides.merge(Overrides{"a": {false, 5}, "b": {true, 4}}) {
		t.Error("a word that is not newer changed something")
	}
	if !overrides.merge(Overrides{"a": {false, 6}, "c": {true, 1}}) || overrides["a"].Disabled || !overrides["b"].Disabled || !overrides["c"].Disabled {
		t.Errorf("%v", overrides)
	}
	p := open(t, t.TempDir(), "n")
	ahead := time.Now().Add(time.Hour).UnixMicro()
	p.overrides["a"] = Override{Disabled: true, At: ahead}
	if got, err := p.SetOverride("a", false); err != nil || got.Disabled || got.At != ahead+1 {
		t.Errorf("%v, %v", got, err)
	}
}

func TestSiblings_AppearAndDisappear(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	want := func(w Siblings) {
		t.Helper()
		if got := a.Siblings(); got != w {
			t.Errorf("%+v, want %+v", got, w)
		}
	}
	want(Siblings{})
	open(t, dir, "other").MarkServing()
	want(Siblings{})
	b := open(t, dir, "n")
	want(Siblings{Alive: 1, Newer: true})
	if o := b.Siblings(); o.Newer {
		t.Errorf("the newer one sees %+v", o)
	}
	b.MarkServing()
	want(Siblings{Alive: 1, Serving: true, Newer: true})
	b.MarkLeaving()
	want(Siblings{Alive: 1, Newer: true})
	c := open(t, dir, "n")
	c.MarkServing()
	want(Siblings{Alive: 2, Serving: true, Newer: true})
	path := c.claimPath()
	c.claimFile.Close() // as a kill does: the lock goes, the file stays
	c.claimFile = nil
	want(Siblings{Alive: 1, Newer: true})
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the claim of one that is gone is left: %v", err)
	}
	b.Close()
	want(Siblings{})
}

// Files that are torn, of another format, another dispatcher's or no files are passed over with an error that names
// them, and give way to the next word.
func TestSync_IgnoresForeignFiles(t *testing.T) {
	good := `{"format":"birchfork hand 1","dispatcher":"n","runners":{"x":{"out":true,"at":7}}}`
	for _, c := range []struct {
		text string
		want map[string]bool
	}{
		{good, map[string]bool{"x": true}},
		{good[:len(good)-9], map[string]bool{}},
		{"", map[string]bool{}},
		{"null", map[string]bool{}},
		{"\x00\xff", map[string]bool{}},
		{strings.Replace(good, "hand 1", "hand 2", 1), map[string]bool{}},
		{strings.Replace(good, `"n"`, `"m"`, 1), map[string]bool{}},
		{strings.Replace(good, `true`, `"yes"`, 1), map[string]bool{}},
	} {
		dir := t.TempDir()
		p := open(t, dir, "n")
		if err := os.WriteFile(filepath.Join(p.dir, overridesFile), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		overrides, err := p.Sync()
		if (err == nil) != (len(c.want) > 0) || err != nil && (!errors.Is(err, errForeignFile) || !strings.HasPrefix(err.Error(), "hand: ")) {
			t.Errorf("%.30q: %v", c.text, err)
		}
		if len(overrides) != len(c.want) {
			t.Errorf("%.30q: %v", c.text, overrides)
		}
		if _, err := p.Sync(); err != nil {
			t.Errorf("%.30q: named again though nothing has changed: %v", c.text, err)
		}
		if _, err := p.SetOverride("y", true); err != nil {
			t.Errorf("%.30q: %v", c.text, err)
		}
		want := maps.Clone(c.want)
		want["y"] = true
		expectOverrides(t, open(t, dir, "n"), want)
	}
	p := open(t, t.TempDir(), "n")
	if err := syscall.Mkfifo(filepath.Join(p.dir, overridesFile), 0o600); err != nil {
		t.Skip(err)
	}
	if _, err := p.Sync(); err == nil {
		t.Error("a pipe was read")
	}
}

// A word that cannot be written counts here at once and is written as soon as that works.
func TestSetOverride_RetriesFailedWrite(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	lock, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Flock(int(lock.Fd()), syscall.LOCK_EX) // by a process that is stopped
	if override, err := p.SetOverride("x", true); err == nil || !override.Disabled {
		t.Fatalf("%v, %v", override, err)
	}
	if overrides, err := p.Sync(); err == nil || !overrides["x"].Disabled {
		t.Fatalf("%v, %v", overrides, err)
	}
	other := open(t, dir, "n")
	expectOverrides(t, other, map[string]bool{})
	lock.Close()
	expectOverrides(t, p, map[string]bool{"x": true})
	expectOverrides(t, other, map[string]bool{"x": true})
}

func TestProcess_WithoutDir(t *testing.T) {
	if _, err := Open("", "n"); err == nil {
		t.Error("a folder of no name was opened")
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Open(file, "n"); err == nil {
		t.Error("a file was opened as a folder")
	}
	p := &Process{}
	if w, err := p.SetOverride("x", true); err != nil || !w.Disabled {
		t.Errorf("%v, %v", w, err)
	}
	expectOverrides(t, p, map[string]bool{"x": true})
	if w, err := p.SetOverride("x", false); err != nil || w.Disabled || w.At == 0 {
		t.Errorf("%v, %v", w, err)
	}
	if l, err := p.Endpoints(); l != nil || err != nil || p.SaveEndpoints(json.RawMessage("{}")) != nil || p.Siblings() != (Siblings{}) {
		t.Error("something is shared")
	}
	p.MarkServing()
	p.Close()
}

func TestEndpoints_SavedForSuccessor(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	if l, err := a.Endpoints(); l != nil || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	if err := a.SaveEndpoints(json.RawMessage(`{"index":7}`)); err != nil {
		t.Fatal(err)
	}
	if l, err := open(t, dir, "n").Endpoints(); string(l) != `{"index":7}` || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	os.WriteFile(filepath.Join(a.dir, endpointsFile), []byte(`{"format":"birchfork li`), 0o600)
	if l, err := a.Endpoints(); l != nil || !errors.Is(err, errForeignFile) {
		t.Fatalf("%s, %v", l, err)
	}
}

// What processes left that were killed while they wrote goes; what one is writing stays.
func TestOpen_RemovesStaleTemps(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	for name, age := range map[string]time.Duration{"new-1": 2 * staleTempAge, "new-2": 0} {
		path := filepath.Join(p.dir, name)
		os.WriteFile(path, nil, 0o600)
		os.Chtimes(path, time.Time{}, time.Now().Add(-age))
	}
	open(t, dir, "n")
	left, _ := filepath.Glob(filepath.Join(p.dir, "new-*"))
	if len(left) != 1 || !strings.HasSuffix(left[0], "new-2") {
		t.Fatalf("left: %v", left)
	}
}

// Old words on runners that are back are forgotten, so that the file does not grow; those on runners that are out never.
func TestOverrides_OldEnabledForgotten(t *testing.T) {
	p := open(t, t.TempDir(), "n")
	old := time.Now().Add(-2 * enabledRetention).UnixMicro()
	p.overrides = Overrides{"back": {false, old}, "out": {true, old}}
	if _, err := p.SetOverride("new", true); err != nil {
		t.Fatal(err)
	}
	overrides, _ := p.Sync()
	if got := slices.Sorted(maps.Keys(overrides)); !slices.Equal(got, []string{"new", "out"}) {
		t.Fatalf("%v", got)
	}
}

func FuzzFiles(f *testing.F) {
	f.Add([]byte(`{"format":"birchfork hand 1","dispatcher":"n","runners":{"x":{"out":true,"at":7}}}`))
	f.Add([]byte(`{"format":"birchfork list 1","dispatcher":"n","list":{"index":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, err := decodeOverrides(raw, "n"); err != nil && (w != nil || !errors.Is(err, errForeignFile)) {
			t.Fatalf("%v, %v", w, err)
		}
		if l, err := decodeEndpoints(raw, "n"); (err == nil) != (l != nil) || err != nil && !errors.Is(err, errForeignFile) {
			t.Fatalf("%s, %v", l, err)
		}
	})
}
