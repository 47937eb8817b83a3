package discovery

import (
	"testing"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Entries of a list.
const (
	entryUp       = `{"name":"s-1","address":"127.0.0.1:5000","zone":"a","type":"big","group":3,"status":"up","weight":1.5,"since_ms":12}`
	entryDraining = `{"name":"s-1","address":"127.0.0.1:5000","zone":"a","type":"big","group":3,"status":"draining","weight":1.5,"since_ms":12}`
)

// Every field of a list is decoded, including numbers in exponent notation.
func TestDecodeList_ReadsAllFields(t *testing.T) {
	l, bad, err := DecodeList([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entryUp +
		`,{"name":"s-2","address":"127.0.0.1:5001","status":"draining"}` +
		`,{"name":"s-3","address":"","status":"removed","since_ms":1.8e12}]}`))
	if err != nil || bad != 0 || l.Version != 41 || !l.Snapshot || l.Stale || len(l.Endpoints) != 3 {
		t.Fatalf("decoded %+v, %d malformed values, error %v, want version 41, a snapshot of 3 endpoints", l, bad, err)
	}
	e := l.Endpoints[0]
	if e.Name != "s-1" || e.Address != "127.0.0.1:5000" || e.Zone != "a" || e.Kind != "big" || e.Cell != 3 ||
		e.State != dispatch.Ready || e.Weight != 1.5 || e.StartedAtMillis != 12 {
		t.Fatalf("first endpoint %+v, want the values of %s", e, entryUp)
	}
	if l.Endpoints[1].State != dispatch.Draining || l.Endpoints[1].Cell != -1 || l.Endpoints[2].State != dispatch.Gone ||
		l.Endpoints[2].StartedAtMillis != 1800000000000 {
		t.Fatalf("endpoints %+v, want s-2 draining without a group, s-3 gone with start time 1.8e12", l.Endpoints[1:])
	}
}

// An endpoint is ready only if its entry is valid and says that requests are accepted.
func TestDecodeList_MalformedEntriesAreNotReady(t *testing.T) {
	for raw, kept := range map[string]int{
		`{"name":"s","address":"127.0.0.1:1","status":"resting"}`: 1,
		`{"name":"s","address":"127.0.0.1:1"}`:                    1,
		`{"name":"s","address":"nowhere","status":"up"}`:          1,
		`{"address":"127.0.0.1:1","status":"up"}`:                 0,
		`{"name":7,"address":"127.0.0.1:1","status":"up"}`:        0,
		`17`: 0,
		`{"name":"s","address":"127.0.0.1:1","status":"up","group":"left"}`: 0,
	} {
		l, bad, err := DecodeList([]byte(`{"index":1,"endpoints":[` + raw + `]}`))
		if err != nil || bad != 1 || len(l.Endpoints) != kept {
			t.Errorf("%s: decoded %+v, %d malformed values, error %v, want %d endpoints and 1 malformed value", raw, l, bad, err, kept)
		}
		if kept == 1 && l.Endpoints[0].State == dispatch.Ready {
			t.Errorf("%s: the endpoint is ready", raw)
		}
	}
	for _, raw := range []string{"", "[]", `{"index":-1}`, `{"index":1`, `{"index":1,"endpoints":{}}`} {
		if _, _, err := DecodeList([]byte(raw)); err == nil {
			t.Errorf("%q: no error", raw)
		}
	}
}

// Any input is rejected or decoded to entries that are safe to use.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`{"index":41,"snapshot":true,"endpoints":[` + entryUp + `]}`))
	f.Add([]byte(`{"endpoints":[{"name":"a","weight":-3,"since_ms":-9}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		l, _, err := DecodeList(raw)
		if err != nil {
			return
		}
		for _, e := range l.Endpoints {
			if e.Name == "" || e.StartedAtMillis < 0 || !(e.Weight >= 0) || e.State == dispatch.Ready && e.Address == "" {
				t.Fatalf("unsafe endpoint accepted: %+v", e)
			}
		}
	})
}

// A list that one process stores is the same when another process loads it.
func TestEncodeList_RoundTrip(t *testing.T) {
	in := engine.EndpointList{Version: 9, Snapshot: true, Endpoints: []engine.Endpoint{
		{Name: "s-1", Address: "127.0.0.1:5000", Zone: "a", Kind: "big", Cell: 3, Weight: 1.5, State: dispatch.Ready, StartedAtMillis: 1764600000123},
		{Name: "s-2", Cell: -1, State: dispatch.Draining},
	}}
	raw, err := EncodeList(in)
	if err != nil {
		t.Fatal(err)
	}
	out, bad, err := DecodeList(raw)
	if err != nil || bad != 0 || out.Version != 9 || !out.Snapshot || len(out.Endpoints) != 2 || out.Endpoints[0] != in.Endpoints[0] ||
		out.Endpoints[1] != in.Endpoints[1] {
		t.Fatalf("%s: decoded %+v, %d malformed values, error %v, want %+v", raw, out, bad, err, in)
	}
}
