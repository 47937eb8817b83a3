package report

import (
	"encoding/json"
	"io"
	"testing"
)

func FuzzDecode(f *testing.F) {
	raw, err := json.Marshal(&Report{Version: Version, Series: []Point{{At: 1, Requested: 2, Outcomes: map[string]int{"served": 2}}}, Rules: map[string]int{"answers": 1}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte(`{"version":2}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := Decode(raw)
		if err != nil {
			return
		}
		if r.Version != Version {
			t.Fatal("a result of another version was decoded")
		}
		if err := r.Text(io.Discard); err != nil {
			t.Fatal(err)
		}
		if err := Compare(io.Discard, [][2]*Report{{r, r}}, "a", "b"); err != nil {
			t.Fatal(err)
		}
	})
}
