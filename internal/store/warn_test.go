package store

import (
	"testing"

	"birchfork/rules"
)

// Others hear of jobs that fail in a row at one worker, not of a chance failure; what they say reaches the module, by name.
func TestWarnings(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(rules.Ready, "a:1", 0))
	name := listOf(rules.Ready, "a:1", 0).Entries[0].Name
	told := 0
	a := (<-mustOpen(t, s, "a").Orders()).Attempt
	end := func(result rules.Result) {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.done = false // once more
		a.ended(result, nil)
	}
	end(rules.Failed) // nobody hears
	end(rules.Failed)
	s.OnWarn(func(worker string) {
		if told++; worker != name {
			t.Errorf("told of %q", worker)
		}
	})
	for i, c := range []struct {
		result rules.Result
		told   int
	}{{rules.Failed, 0}, {rules.OK, 0}, {rules.Disconnected, 0}, {rules.NotSent, 0}, {rules.Failed, 1}, {rules.TimedOut, 1}, {rules.Failed, 2}} {
		if end(c.result); told != c.told {
			t.Errorf("after %d ends told %d times, want %d", i+1, told, c.told)
		}
	}
	s.Warned("nobody")
	s.Warned(name)
	if e := m.of(rules.Warned); len(e) != 1 || e[0].Worker != 0 {
		t.Errorf("the module heard %+v", e)
	}
}
