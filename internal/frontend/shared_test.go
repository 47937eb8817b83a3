package frontend

import (
	"errors"
	"net"
	"strings"
	"testing"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// What the kernel has accepted for a listener that finishes is taken, all of it; what comes later is the other's.
func TestAFinishingListenerLeavesNobodyBehind(t *testing.T) {
	old, err := ListenShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := old.Addr().String()
	const many = 40
	for range many {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	young, err := ListenShared(address)
	if err != nil {
		t.Fatalf("nobody can listen beside it: %v", err)
	}
	defer young.Close()
	taken := make(chan net.Conn, many)
	ended := make(chan error, 1)
	go func() {
		for {
			c, err := old.Accept()
			if err != nil {
				ended <- err
				return
			}
			taken <- c
		}
	}()
	old.Finish()
	for range many {
		(<-taken).Close()
	}
	for { // until it listens no more
		raw, err := old.SyscallConn()
		if err != nil || raw.Control(func(uintptr) {}) != nil {
			break
		}
	}
	for range many {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	for range many {
		c, err := young.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	select {
	case err := <-ended:
		t.Fatalf("Accept ended before Close: %v", err)
	default:
	}
	old.Close()
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("%v", err)
	}
	if err := old.Close(); err != nil {
		t.Errorf("closed twice: %v", err)
	}
	if len(taken) > 0 {
		t.Errorf("%d connections were taken that were the other's", len(taken))
	}
}

func TestASharedAddressThatIsTaken(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := ListenShared(l.Addr().String()); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Fatalf("%v", err)
	}
}

// A list that is left for another process means the same there.
func TestListIsEncodedAsItIsDecoded(t *testing.T) {
	in := engine.List{Index: 9, Whole: true, Entries: []engine.Entry{
		{Name: "s-1", Address: "127.0.0.1:5000", Zone: "a", Kind: "big", Cell: 3, Weight: 1.5, State: dispatch.Ready, Since: 1764600000123},
		{Name: "s-2", Cell: -1, State: dispatch.Draining},
	}}
	raw, err := EncodeList(in)
	if err != nil {
		t.Fatal(err)
	}
	out, bad, err := DecodeList(raw)
	if err != nil || bad != 0 || out.Index != 9 || !out.Whole || len(out.Entries) != 2 || out.Entries[0] != in.Entries[0] ||
		out.Entries[1] != in.Entries[1] {
		t.Fatalf("%s: %+v, %d, %v", raw, out, bad, err)
	}
}
