package hotrestart

import (
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

// Overrides may be set in either process, reach the other one and persist after both have ended.
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
	set(b, "x", true) // disabled twice, enabled once
	set(a, "x", false)
	expectOverrides(t, b, map[string]bool{"x": false, "y": true})
	if override, err := b.SetOverride("z", false); err != nil || override != (Override{}) {
		t.Errorf("enabling a worker that was never disabled: %v, %v", override, err)
	}
	a.Close()
	b.Close()
	expectOverrides(t, open(t, dir, "n"), map[string]bool{"x": false, "y": true})
	expectOverrides(t, open(t, dir, "other"), map[string]bool{})
}

// The newest override of each worker wins, in whichever process it was set, even if the clock stands still or steps back.
func TestOverrides_NewestWins(t *testing.T) {
	overrides := Overrides{"a": {true, 5}, "b": {true, 5}}
	if overrides.merge(Overrides{"a": {false, 5}, "b": {true, 4}}) {
		t.Error("overrides that are not newer were merged")
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

// A file that is truncated, of another format or of another dispatcher is ignored: Sync returns an error that names the file, but only once
// for each version of it, and the next override replaces the file. A file that is not a regular one is an error and is not read.
func TestSync_IgnoresUnusableFiles(t *testing.T) {
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
		writeTestFile(t, filepath.Join(p.dir, overridesFile), c.text)
		overrides, err := p.Sync()
		if (err == nil) != (len(c.want) > 0) || err != nil && (!errors.Is(err, errUnusableFile) || !strings.HasPrefix(err.Error(), "hand: ")) {
			t.Errorf("%.30q: %v", c.text, err)
		}
		if len(overrides) != len(c.want) {
			t.Errorf("%.30q: %v", c.text, overrides)
		}
		if _, err := p.Sync(); err != nil {
			t.Errorf("%.30q: error repeated for an unchanged file: %v", c.text, err)
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

// An override that cannot be written takes effect in this process at once, and each Sync retries the write.
func TestSetOverride_RetriesFailedWrite(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	lock, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil { // as if held by a suspended process
		t.Fatal(err)
	}
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

// Old overrides of enabled workers are dropped, so that the file does not grow; those of disabled workers are kept.
func TestOverrides_DropsOldEnabled(t *testing.T) {
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

// No content of a file makes the decoders panic, and they return either a value or errUnusableFile.
func FuzzFiles(f *testing.F) {
	f.Add([]byte(`{"format":"birchfork hand 1","dispatcher":"n","runners":{"x":{"out":true,"at":7}}}`))
	f.Add([]byte(`{"format":"birchfork list 1","dispatcher":"n","list":{"index":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, err := decodeOverrides(raw, "n"); err != nil && (w != nil || !errors.Is(err, errUnusableFile)) {
			t.Fatalf("%v, %v", w, err)
		}
		endpoints, err := decodeEndpoints(raw, "n")
		if (err == nil) != (endpoints != nil) || err != nil && !errors.Is(err, errUnusableFile) {
			t.Fatalf("%s, %v", endpoints, err)
		}
	})
}
