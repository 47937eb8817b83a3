package consensus

import "testing"

// TestPosition_Lacks verifies that Lacks compares both the term and the last index.
func TestPosition_Lacks(t *testing.T) {
	for _, c := range []struct {
		position, promised Position
		lacks              bool
	}{
		{Position{Term: 3, LastIndex: 9}, Position{Term: 3, LastIndex: 9}, false},
		{Position{Term: 3, LastIndex: 9}, Position{Term: 4, LastIndex: 2}, true},
		{Position{Term: 5, LastIndex: 9}, Position{Term: 4, LastIndex: 10}, true},
		{Position{Term: 5, LastIndex: 9}, Position{}, false},
	} {
		if c.position.Lacks(c.promised) != c.lacks {
			t.Errorf("%+v lacks %+v: got %t, want %t", c.position, c.promised, !c.lacks, c.lacks)
		}
	}
}
