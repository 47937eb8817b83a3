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

func says(t *testing.T, p *Process, want map[string]bool) {
	t.Helper()
	words, err := p.Sync()
	got := map[string]bool{}
	for name, w := range words {
		got[name] = w.Out
	}
	if err != nil || !maps.Equal(got, want) {
		t.Errorf("out: %v, %v, want %v", got, err, want)
	}
}

// Either process may be asked; each hears the other, and what was said outlives both.
func TestWordsAreSharedAndKept(t *testing.T) {
	dir := t.TempDir()
	a, b := open(t, dir, "n"), open(t, dir, "n")
	say := func(p *Process, runner string, out bool) {
		t.Helper()
		if _, err := p.Say(runner, out); err != nil {
			t.Fatal(err)
		}
	}
	says(t, a, map[string]bool{})
	say(a, "x", true)
	say(b, "y", true)
	says(t, a, map[string]bool{"x": true, "y": true})
	says(t, b, map[string]bool{"x": true, "y": true})
	say(b, "x", true) // twice out, once back
	say(a, "x", false)
	says(t, b, map[string]bool{"x": false, "y": true})
	if w, err := b.Say("z", false); err != nil || w != (Word{}) {
		t.Errorf("one that was never out is put back: %v, %v", w, err)
	}
	a.Close()
	b.Close()
	says(t, open(t, dir, "n"), map[string]bool{"x": false, "y": true})
	says(t, open(t, dir, "other"), map[string]bool{})
}

// The newest word on each runner counts, whoever has it: clocks that stand still or step back change nothing.
func TestTheNewestWordCounts(t *testing.T) {
	w := Words{"a": {true, 5}, "b": {true, 5}}
	if w.merge(Words{"a": {false, 5}, "b": {true, 4}}) {
		t.Error("a word that is not newer changed something")
	}
	if !w.merge(Words{"a": {false, 6}, "c": {true, 1}}) || w["a"].Out || !w["b"].Out || !w["c"].Out {
		t.Errorf("%v", w)
	}
	p := open(t, t.TempDir(), "n")
	ahead := time.Now().Add(time.Hour).UnixMicro()
	p.words["a"] = Word{Out: true, At: ahead}
	if got, err := p.Say("a", false); err != nil || got.Out || got.At != ahead+1 {
		t.Errorf("%v, %v", got, err)
	}
}

func TestOthersAreSeenAndForgotten(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	want := func(w Others) {
		t.Helper()
		if got := a.Others(); got != w {
			t.Errorf("%+v, want %+v", got, w)
		}
	}
	want(Others{})
	open(t, dir, "other").Serving()
	want(Others{})
	b := open(t, dir, "n")
	want(Others{Alive: 1, Newer: true})
	if o := b.Others(); o.Newer {
		t.Errorf("the newer one sees %+v", o)
	}
	b.Serving()
	want(Others{Alive: 1, Serving: true, Newer: true})
	b.Leaving()
	want(Others{Alive: 1, Newer: true})
	c := open(t, dir, "n")
	c.Serving()
	want(Others{Alive: 2, Serving: true, Newer: true})
	path := c.claimPath()
	c.claim.Close() // as a kill does: the lock goes, the file stays
	c.claim = nil
	want(Others{Alive: 1, Newer: true})
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the claim of one that is gone is left: %v", err)
	}
	b.Close()
	want(Others{})
}

// Files that are torn, of another format, another dispatcher's or no files are passed over with an error that names
// them, and give way to the next word.
func TestForeignFilesArePassedOver(t *testing.T) {
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
		if err := os.WriteFile(filepath.Join(p.dir, handFile), []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		words, err := p.Sync()
		if (err == nil) != (len(c.want) > 0) || err != nil && (!errors.Is(err, errForeign) || !strings.HasPrefix(err.Error(), "hand: ")) {
			t.Errorf("%.30q: %v", c.text, err)
		}
		if len(words) != len(c.want) {
			t.Errorf("%.30q: %v", c.text, words)
		}
		if _, err := p.Sync(); err != nil {
			t.Errorf("%.30q: named again though nothing has changed: %v", c.text, err)
		}
		if _, err := p.Say("y", true); err != nil {
			t.Errorf("%.30q: %v", c.text, err)
		}
		want := maps.Clone(c.want)
		want["y"] = true
		says(t, open(t, dir, "n"), want)
	}
	p := open(t, t.TempDir(), "n")
	if err := syscall.Mkfifo(filepath.Join(p.dir, handFile), 0o600); err != nil {
		t.Skip(err)
	}
	if _, err := p.Sync(); err == nil {
		t.Error("a pipe was read")
	}
}

// A word that cannot be written counts here at once and is written as soon as that works.
func TestAWordIsKeptUntilItCanBeWritten(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	lock, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	syscall.Flock(int(lock.Fd()), syscall.LOCK_EX) // by a process that is stopped
	if w, err := p.Say("x", true); err == nil || !w.Out {
		t.Fatalf("%v, %v", w, err)
	}
	if words, err := p.Sync(); err == nil || !words["x"].Out {
		t.Fatalf("%v, %v", words, err)
	}
	other := open(t, dir, "n")
	says(t, other, map[string]bool{})
	lock.Close()
	says(t, p, map[string]bool{"x": true})
	says(t, other, map[string]bool{"x": true})
}

func TestWithoutAFolderNothingIsShared(t *testing.T) {
	if _, err := Open("", "n"); err == nil {
		t.Error("a folder of no name was opened")
	}
	file := filepath.Join(t.TempDir(), "file")
	os.WriteFile(file, nil, 0o600)
	if _, err := Open(file, "n"); err == nil {
		t.Error("a file was opened as a folder")
	}
	p := &Process{}
	if w, err := p.Say("x", true); err != nil || !w.Out {
		t.Errorf("%v, %v", w, err)
	}
	says(t, p, map[string]bool{"x": true})
	if w, err := p.Say("x", false); err != nil || w.Out || w.At == 0 {
		t.Errorf("%v, %v", w, err)
	}
	if l, err := p.List(); l != nil || err != nil || p.KeepList(json.RawMessage("{}")) != nil || p.Others() != (Others{}) {
		t.Error("something is shared")
	}
	p.Serving()
	p.Close()
}

func TestTheListIsLeft(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	if l, err := a.List(); l != nil || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	if err := a.KeepList(json.RawMessage(`{"index":7}`)); err != nil {
		t.Fatal(err)
	}
	if l, err := open(t, dir, "n").List(); string(l) != `{"index":7}` || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	os.WriteFile(filepath.Join(a.dir, listFile), []byte(`{"format":"birchfork li`), 0o600)
	if l, err := a.List(); l != nil || !errors.Is(err, errForeign) {
		t.Fatalf("%s, %v", l, err)
	}
}

// What processes left that were killed while they wrote goes; what one is writing stays.
func TestHalfWrittenFilesGo(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	for name, age := range map[string]time.Duration{"new-1": 2 * halfDone, "new-2": 0} {
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
func TestOldWordsAreForgotten(t *testing.T) {
	p := open(t, t.TempDir(), "n")
	old := time.Now().Add(-2 * forgetWord).UnixMicro()
	p.words = Words{"back": {false, old}, "out": {true, old}}
	if _, err := p.Say("new", true); err != nil {
		t.Fatal(err)
	}
	words, _ := p.Sync()
	if got := slices.Sorted(maps.Keys(words)); !slices.Equal(got, []string{"new", "out"}) {
		t.Fatalf("%v", got)
	}
}

func FuzzFiles(f *testing.F) {
	f.Add([]byte(`{"format":"birchfork hand 1","dispatcher":"n","runners":{"x":{"out":true,"at":7}}}`))
	f.Add([]byte(`{"format":"birchfork list 1","dispatcher":"n","list":{"index":1}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if w, err := decodeWords(raw, "n"); err != nil && (w != nil || !errors.Is(err, errForeign)) {
			t.Fatalf("%v, %v", w, err)
		}
		if l, err := decodeList(raw, "n"); (err == nil) != (l != nil) || err != nil && !errors.Is(err, errForeign) {
			t.Fatalf("%s, %v", l, err)
		}
	})
}
