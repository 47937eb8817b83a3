package dispatch

import "testing"

// newPeerPair returns two dispatchers. deliverMessages exchanges their messages without delay.
func newPeerPair(t *testing.T) [2]*harness {
	var p [2]*harness
	for i := range p {
		s := testSettings()
		s.GroupSize, s.Ordinal, s.PeerMessages = 2, i, true
		list := fleet(40)
		for w := range list {
			list[w].Tag = 7 // the parity of the tag makes dispatcher 1 the aggregator of all workers
			list[w].Tag += uint64(2 * w)
		}
		p[i] = newHarness(t, s)
		p[i].handle(Event{Kind: EndpointSnapshot, Workers: list, Version: 1})
		p[i].wait(2 * aggregatorWarmup)
	}
	return p
}

// deliverMessages delivers the messages among actions, and the messages that they cause, and returns all other actions.
func deliverMessages(p [2]*harness, from int, actions []Action) (rest []Action) {
	for _, a := range actions {
		if a.Kind != SendToPeer {
			rest = append(rest, a)
			continue
		}
		rest = append(rest, deliverMessages(p, a.Peer, p[a.Peer].handle(Event{Kind: PeerMessageReceived, Peer: from, Message: a.Message}))...)
	}
	return rest
}

func TestPeers_ShareUsage(t *testing.T) {
	p := newPeerPair(t)
	send := func(i int) (RequestID, WorkerID) {
		id, actions := p[i].arrive(classIdempotent, 100*ms)
		actions = append(deliverMessages(p, i, actions), deliverMessages(p, i, p[i].wait(loadQueryTimeout+candidateInterval))...)
		p[1-i].wait(loadQueryTimeout + candidateInterval)
		if countKind(actions, Send) != 1 {
			t.Fatalf("got %v, want one send", actions)
		}
		return id, actions[0].Worker
	}
	_, inUse := send(1)
	for range 20 {
		id, w := send(0)
		if w == inUse {
			t.Fatalf("sent to worker %d, which the other dispatcher uses", w)
		}
		deliverMessages(p, 0, p[0].startAndEnd(id, 0))
	}
}

func TestPeers_LostMessagesAreHarmless(t *testing.T) {
	p := newPeerPair(t)
	_, actions := p[0].arrive(classIdempotent, 100*ms)
	if countKind(actions, SendToPeer) == 0 || countKind(actions, Send) != 0 {
		t.Fatalf("got %v, want load queries before the send", actions)
	}
	if actions = p[0].wait(loadQueryTimeout + ms); countKind(actions, Send) != 1 {
		t.Fatalf("got %v, want a send although no reply was received", actions)
	}
	p[0].handle(Event{Kind: PeerMessageReceived, Peer: 99, Message: PeerMessage{Kind: LoadReply, Tag: 12345, Slots: 1e9}}) // invalid sender, tag and slots
	p[0].handle(Event{Kind: PeerMessageReceived, Peer: -4, Message: PeerMessage{Kind: UsageUpdate, Tag: 7, Slots: -3}})
}

func TestPeers_UsageExpires(t *testing.T) {
	p := newPeerPair(t)
	d := p[1].dispatcher
	p[1].handle(Event{Kind: PeerMessageReceived, Peer: 0, Message: PeerMessage{Kind: UsageUpdate, Tag: 7, Slots: 2}})
	if d.usageByTag[7].totalSlots != 2 {
		t.Fatalf("total usage %v, want 2", d.usageByTag[7].totalSlots)
	}
	p[1].wait(usageTTL)
	p[1].handle(Event{Kind: TimerFired})
	d.recordPeerUsage(1, PeerMessage{Kind: UsageUpdate, Tag: 7, Slots: 1})
	if d.usageByTag[7].totalSlots != 1 {
		t.Fatalf("total usage %v after the first update expired, want 1 from the second", d.usageByTag[7].totalSlots)
	}
}

func TestPeers_OverloadNoticeReachesAggregator(t *testing.T) {
	p := newPeerPair(t)
	id, actions := p[0].arrive(classIdempotent, 100*ms)
	actions = deliverMessages(p, 0, actions)
	if len(actions) == 0 {
		actions = deliverMessages(p, 0, p[0].wait(loadQueryTimeout+candidateInterval))
	}
	if countKind(actions, Send) != 1 {
		t.Fatalf("got %v, want one send", actions)
	}
	w := actions[0].Worker
	deliverMessages(p, 0, p[0].end(id, 0, ResultOverloaded))
	query := PeerMessage{Kind: LoadQuery, Tag: 7 + 2*uint64(w)}
	for _, c := range []struct {
		after Time
		min   float64
		max   float64
	}{{ms, overloadPenalty, 2 * overloadPenalty}, {overloadTTL + ms, 0, 1}} {
		p[1].wait(c.after)
		replies := p[1].handle(Event{Kind: PeerMessageReceived, Peer: 0, Message: query})
		if len(replies) != 1 || replies[0].Message.Slots < c.min || replies[0].Message.Slots > c.max {
			t.Errorf("%v after a rejection the aggregator replies %v, want one reply, with the penalty until it expires", c.after, replies)
		}
	}
}

// Guards against sends to full workers: an old load reply is better than no information when the aggregator does not answer.
func TestPeers_OldLoadReplyIsUsedWithoutNewOne(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 2, 0, true
	list := taggedFleet(2)
	for i := range list {
		list[i].Tag = uint64(2*i + 1) // the other dispatcher is the aggregator of both workers
	}
	h := newHarness(t, s, list...)
	h.wait(2 * aggregatorWarmup)
	report := func() {
		for _, w := range list {
			h.handle(Event{Kind: PeerMessageReceived, Peer: 1, Message: PeerMessage{Kind: LoadReply, Tag: w.Tag, Slots: 9}})
		}
	}
	h.arrive(classIdempotent, 100*ms)
	report()
	sends := 0
	for range 5 { // from here on the aggregator does not reply
		sends += countKind(h.wait(loadQueryTimeout), Send)
	}
	if sends != 0 {
		t.Errorf("%d sends to workers that were reported as full, want none", sends)
	}
}

func TestPeers_GroupLoadIsScaledBySlowdownAndOverridesReports(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.PeerMessages = 2, true
	h := newHarness(t, s, fleet(2)...)
	quick, slow := h.dispatcher.workers[0], h.dispatcher.workers[1]
	for _, w := range h.dispatcher.workers {
		w.groupLoad, w.groupLoadAt, w.runCount, w.slowdown = 1, h.now, 1, 1
	}
	slow.slowdown = 2
	quick.kind.size = 8
	h.dispatcher.now = h.now
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, slots: 1, open: true, deadline: never, queuedAt: h.now}
	if a, b := h.dispatcher.placementCost(r, quick), h.dispatcher.placementCost(r, slow); a >= b {
		t.Errorf("cost %v of the fast worker, %v of one at half its speed under the same load, want the first lower", a, b)
	}
	quick.reportedCapacity, quick.reportedCapacityExpiry = 0, h.now+Second // a report that is still valid
	if !h.dispatcher.hasCapacity(r, quick) {
		t.Error("a load report without free slots overrides the newer load from the aggregator")
	}
}

func TestPeers_LoadQueriesAreBounded(t *testing.T) {
	s := testSettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 2, 0, true
	list := taggedFleet(200)
	for i := range list {
		list[i].Tag |= 1
	}
	h := newHarness(t, s, list...)
	h.wait(2 * aggregatorWarmup)
	_, actions := h.arrive(classIdempotent, 100*ms)
	for range 3 {
		if n := countKind(actions, SendToPeer); n > maxLoadQueries {
			t.Fatalf("%d messages for one sampling, want at most %d", n, maxLoadQueries)
		}
		for _, w := range h.dispatcher.workers {
			w.groupLoad, w.groupLoadAt = 99, h.now // all workers are full
		}
		actions = h.wait(loadQueryTimeout + ms)
	}
}

func TestPeers_GroupOf900(t *testing.T) {
	s := affinitySettings()
	s.GroupSize, s.Ordinal, s.PeerMessages = 900, 899, true
	h := newHarness(t, s, taggedFleet(290)...)
	messages, sends := 0, 0
	for key := range uint64(50) {
		id, actions := h.arriveWithKey(key + 1)
		actions = append(actions, h.wait(2*loadQueryTimeout)...)
		for _, a := range actions {
			if a.Kind == SendToPeer && (a.Peer < 0 || a.Peer >= 899) {
				t.Fatalf("message to invalid peer %d", a.Peer)
			}
		}
		messages, sends = messages+countKind(actions, SendToPeer), sends+countKind(actions, Send)
		if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
			h.startAndEnd(id, 0)
		}
	}
	if sends < 50 || messages < 50 {
		t.Errorf("%d sends and %d messages for 50 requests without replies, want at least 50 of each", sends, messages)
	}
}
