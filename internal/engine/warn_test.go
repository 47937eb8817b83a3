package engine

import (
	"testing"

	"birchfork/dispatch"
)

// Others hear of jobs that fail in a row at one worker, not of a chance failure; what they say reaches the module, by name.
func TestWarnings(t *testing.T) {
	m := &script{on: sends}
	s := newStore(t, m)
	s.News(listOf(dispatch.Ready, "a:1", 0))
	name := listOf(dispatch.Ready, "a:1", 0).Entries[0].Name
	told := 0
	a := (<-mustOpen(t, s, "a").Orders()).Attempt
	end := func(result dispatch.Result) {
		s.mu.Lock()
		defer s.mu.Unlock()
		a.done = false // once more
		a.ended(result, nil)
	}
	end(dispatch.Failed) // nobody hears
	end(dispatch.Failed)
	s.OnWarn(func(worker string) {
		if told++; worker != name {
			t.Errorf("told of %q", worker)
		}
	})
	for i, c := range []struct {
		result dispatch.Result
		told   int
	}{{dispatch.Failed, 0}, {dispatch.OK, 0}, {dispatch.Disconnected, 0}, {dispatch.NotSent, 0}, {dispatch.Failed, 1}, {dispatch.TimedOut, 1}, {dispatch.Failed, 2}} {
		if end(c.result); told != c.told {
			t.Errorf("after %d ends told %d times, want %d", i+1, told, c.told)
		}
	}
	s.Warned("nobody")
	s.Warned(name)
	if e := m.of(dispatch.Warned); len(e) != 1 || e[0].Worker != 0 {
		t.Errorf("the module heard %+v", e)
	}
}
