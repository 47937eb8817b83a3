package endpoints

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var facts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Fact {
	return Fact{
		Name: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name"), Start: rapid.Int64Range(0, 3).Draw(t, "start"),
		State: State(rapid.IntRange(0, 2).Draw(t, "state")),
	}
}), 0, 12)

// Whatever order facts come in, in whatever pieces and how often, the same workers are left out, and nothing is news twice.
func TestFactsBecomeOneInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own, all := []Fact{{Name: "a"}, {Name: "b", Start: 2}}, facts.Draw(t, "facts")
		one, two := New(), New()
		one.Own(own, false)
		two.Own(own, false)
		one.Hear(0, all)
		again := slices.Concat(rapid.Permutation(all).Draw(t, "order"), all)
		for len(again) > 0 {
			n := rapid.IntRange(1, len(again)).Draw(t, "piece")
			two.Hear(0, again[:n])
			again = again[n:]
		}
		if a, b := one.Held(0, -1), two.Held(0, -1); !slices.Equal(a, b) {
			t.Fatalf("%v and %v", a, b)
		}
		if news, _ := two.Hear(0, all); len(news) > 0 {
			t.Fatalf("news again: %v", news)
		}
	})
}

// By whom a worker is left out, and until when.
func TestHeld(t *testing.T) {
	const later = trustOwn - 1
	for what, c := range map[string]struct {
		own, told  Fact
		now, alive time.Duration
		held       bool
	}{
		"it drains":                        {Fact{Start: 5}, Fact{Start: 5, State: Draining}, 0, 0, true},
		"it has gone, our watch is silent": {Fact{Start: 5}, Fact{Start: 5, State: Gone}, time.Hour, -1, true},
		"it was started anew":              {Fact{Start: 5}, Fact{Start: 6}, later, time.Hour, true},
		"an older start drains":            {Fact{Start: 5}, Fact{Start: 4, State: Draining}, 0, -1, false},
		"our list has it":                  {Fact{State: Draining}, Fact{State: Draining}, 0, -1, false},
		"our list holds against it":        {Fact{}, Fact{State: Draining}, trustOwn, time.Hour, false},
		"our watch has not stood for long": {Fact{}, Fact{State: Draining}, time.Hour, later, true},
	} {
		r := New()
		c.own.Name, c.told.Name = "w", "w"
		r.Own([]Fact{c.own}, true)
		r.Hear(0, []Fact{c.told})
		if held := len(r.Held(c.now, c.alive)) > 0; held != c.held {
			t.Errorf("%s: left out %t", what, held)
		}
	}
}

// What others are to hear of our own list: what is new since a fresh one, unless they told it. A fact that our list has held against
// is no news when it comes again, until it is forgotten.
func TestNews(t *testing.T) {
	r := New()
	up, drains := []Fact{{Name: "v"}, {Name: "w"}}, []Fact{{Name: "v", State: Draining}, {Name: "w", State: Draining}}
	if news := r.Own(up, false); len(news) > 0 {
		t.Errorf("an old list: %v", news)
	}
	if news := r.Own(up, true); len(news) > 0 {
		t.Errorf("the first fresh list: %v", news)
	}
	if news, refused := r.Hear(0, append(drains[:1:1], Fact{}, Fact{Name: "x", Start: -1}, Fact{Name: "x", State: 3})); len(news) != 1 || refused != 3 {
		t.Errorf("%v, %d refused", news, refused)
	}
	r.Held(trustOwn, time.Hour)
	if news, _ := r.Hear(trustOwn, drains[:1]); len(news) > 0 || len(r.Held(trustOwn, time.Hour)) > 0 {
		t.Errorf("it came again: %v", news)
	}
	if news := r.Own(drains, true); !slices.Equal(news, drains[1:]) {
		t.Errorf("%v, one of which others told", news)
	}
	r.Own(up, true)
	r.Held(2*forget, time.Hour)
	if news, _ := r.Hear(2*forget, drains[:1]); len(news) != 1 {
		t.Error("it is known for ever")
	}
	for i := range 2 * factsMost {
		r.Hear(0, []Fact{{Name: string(rune(i + 1000)), Start: 1}})
	}
	if len(r.others) > factsMost {
		t.Errorf("%d are kept", len(r.others))
	}
}
