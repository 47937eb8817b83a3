package discovery

import (
	"io"
	"net"
	"testing"

	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
)

// The old address is used until the new one has sent its complete list, and no longer afterwards.
func TestWatcher_MoveToLeavesNoGap(t *testing.T) {
	e := enginetest.New(t, 0)
	oldEvents, newEvents, stay := make(chan string), make(chan string), make(chan bool)
	defer close(stay)
	serve := func(events chan string) func(c net.Conn) {
		return func(c net.Conn) {
			io.WriteString(c, okHead)
			for {
				select {
				case line := <-events:
					io.WriteString(c, line)
				case <-stay:
					return
				}
			}
		}
	}
	old, _ := startDiscovery(t, func(c net.Conn) { io.WriteString(c, okHead+updateChunk(50, true, entryUp)+"0\r\n\r\n") }, serve(oldEvents))
	watcher := startWatcher(t, e, old)
	ready := func() bool { available, _ := e.Ready(); return available }
	waitFor(t, "the first list is applied", ready)

	unreachable, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unreachable.Close()
	watcher.MoveTo(unreachable.Addr().String())
	waitFor(t, "the unreachable address has been tried", func() bool { return e.Counters.WatchFailures.Load() >= 2 })
	oldEvents <- updateChunk(51, false, entryDraining)
	waitFor(t, "a drain from the old address is applied meanwhile", func() bool { return !ready() })
	oldEvents <- updateChunk(52, false, entryUp)
	waitFor(t, "a recovery from the old address is applied meanwhile", ready)

	current, _ := startDiscovery(t,
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(1, true)+"0\r\n\r\n") }, // an agent that has not received a list yet
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(2, true, entryUp)+"0\r\n\r\n") },
		serve(newEvents))
	watcher.MoveTo(current)
	waitFor(t, "the new address is current", func() bool { return watcher.Address() == current })
	if !ready() || e.Counters.DiscoveryAddressChanges.Load() != 1 {
		t.Fatal("want a ready worker and 1 address change:", e.Counters.Fields())
	}
	n := e.Counters.EndpointUpdates.Load()
	newEvents <- updateChunk(3, false, entryDraining) // a lower version than that of the old address
	waitFor(t, "a drain from the new address is applied", func() bool { return !ready() && e.Counters.EndpointUpdates.Load() == n+1 })
	watcher.MoveTo(current) // to the same address again
	watcher.MoveTo(old)     // back to the old address, which sends no complete list any more
	watcher.MoveTo(current)
	newEvents <- updateChunk(4, false, entryUp)
	waitFor(t, "a change from the current address is applied", ready)
	if e.Counters.DiscoveryAddressChanges.Load() != 1 {
		t.Error("the address changed although no other address sent a complete list")
	}
}

// The engine is told whether the current watch is alive: while it is not, reports of other members about workers are used.
func TestWatcher_ReportsBrokenWatch(t *testing.T) {
	e := enginetest.New(t, 0)
	w := &watch{}
	watcher := &Watcher{Engine: e, Log: enginetest.DiscardLogger(), current: w}
	before := e.WatchingFor()
	if err := watcher.apply(w, engine.EndpointList{Snapshot: true}); err != nil {
		t.Fatal(err)
	}
	watcher.watchBroken(&watch{})
	during := e.WatchingFor()
	if watcher.watchBroken(w); before >= 0 || during < 0 || e.WatchingFor() >= 0 {
		t.Fatalf("watching for %v before, %v during, %v after the watch: want only the second not negative", before, during, e.WatchingFor())
	}
}
