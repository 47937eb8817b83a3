package discovery

import (
	"io"
	"net"
	"testing"

	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
)

// The old address is used until the new one has sent its complete list, and not any more afterwards.
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
	waitFor(t, "the first list is there", ready)

	dead, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dead.Close()
	watcher.MoveTo(dead.Addr().String())
	waitFor(t, "the dead address was tried", func() bool { return e.Counters.WatchFailures.Load() >= 2 })
	oldEvents <- updateChunk(51, false, entryDraining)
	waitFor(t, "the old address is heard meanwhile", func() bool { return !ready() })
	oldEvents <- updateChunk(52, false, entryUp)
	waitFor(t, "the old address is heard meanwhile", ready)

	fresh, _ := startDiscovery(t,
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(1, true)+"0\r\n\r\n") }, // an agent that has not received a list yet
		func(c net.Conn) { io.WriteString(c, okHead+updateChunk(2, true, entryUp)+"0\r\n\r\n") },
		serve(newEvents))
	watcher.MoveTo(fresh)
	waitFor(t, "the new address has taken over", func() bool { return watcher.Address() == fresh })
	if !ready() || e.Counters.DiscoveryAddressChanges.Load() != 1 {
		t.Fatal(e.Counters.Fields())
	}
	n := e.Counters.EndpointUpdates.Load()
	newEvents <- updateChunk(3, false, entryDraining) // a lower version than the old one's
	waitFor(t, "the new address is heard", func() bool { return !ready() && e.Counters.EndpointUpdates.Load() == n+1 })
	watcher.MoveTo(fresh) // to the same address again
	watcher.MoveTo(old)   // and back, where nothing answers any more
	watcher.MoveTo(fresh)
	newEvents <- updateChunk(4, false, entryUp)
	waitFor(t, "the address that counts goes on", ready)
	if e.Counters.DiscoveryAddressChanges.Load() != 1 {
		t.Error("it moved though nothing new told its list")
	}
}

// The engine knows whether the current watch is alive: reports of other members about workers count while it is not.
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
		t.Fatalf("%v before, %v while it stands, %v after", before, during, e.WatchingFor())
	}
}
