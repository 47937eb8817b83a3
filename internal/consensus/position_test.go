package consensus

import "testing"

// TestPosition_Misses verifies that a position misses a promise by its term or by its last index.
func TestPosition_Misses(t *testing.T) {
	for _, c := range []struct {
		position, promised Position
		misses             bool
	}{
		{Position{Term: 3, LastIndex: 9}, Position{Term: 3, LastIndex: 9}, false},
		{Position{Term: 3, LastIndex: 9}, Position{Term: 4, LastIndex: 2}, true},
		{Position{Term: 5, LastIndex: 9}, Position{Term: 4, LastIndex: 10}, true},
		{Position{Term: 5, LastIndex: 9}, Position{}, false},
	} {
		if c.position.Misses(c.promised) != c.misses {
			t.Errorf("%+v misses %+v is %t", c.position, c.promised, !c.misses)
		}
	}
}
