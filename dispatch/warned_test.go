package dispatch

import "testing"

// A worker that fails for another dispatcher gets no job that may not be repeated until it gives a sign to us; then that one's word
// is not heeded for a while. What all are said to share is no one's fault.
func TestAnothersWordOnAWorker(t *testing.T) {
	k := newDesk(t, settings(), fleet(6)...)
	at := func(class, n int) (got int) {
		for range n {
			id, acts := k.land(class, 10*ms)
			for _, w := range sentTo(acts) {
				if w == 0 {
					got++
				}
			}
			k.do(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
		return got
	}
	warn := func(w WorkerID) { k.do(Event{Kind: Warned, Worker: w}) }
	warn(-1)
	warn(99)
	if at(unsafe, 60) == 0 {
		t.Fatal("nothing goes to the worker in the first place")
	}
	warn(0)
	if n := at(unsafe, 60); n > 0 {
		t.Errorf("%d jobs that may not be repeated went to a doubted worker", n)
	}
	k.wait(Second)
	if n := at(safe, 60); n == 0 {
		t.Error("no trial")
	}
	if warn(0); at(unsafe, 60) == 0 {
		t.Error("a worker that has proved good for us is left alone by another's word")
	}
	k.wait(heedAgain)
	if warn(0); at(unsafe, 60) > 0 {
		t.Error("a later word is not heeded")
	}
	k.wait(Second)
	failed := 0
	for failed == 0 { // its first trial fails: that is no reason to trust it
		id, acts := k.land(safe, 10*ms)
		to := sentTo(acts)[0]
		if to == 0 {
			failed++
			k.do(Event{Kind: Ended, Request: id, Result: Failed, Final: true})
		} else {
			k.do(Event{Kind: Ended, Request: id, Result: OK, Final: true})
		}
	}
	if n := at(unsafe, 60); n > 0 {
		t.Errorf("%d jobs that may not be repeated went there after a trial that failed", n)
	}
	for w := range WorkerID(6) {
		warn(w)
	}
	doubted := 0
	for _, w := range k.d.ready {
		if w.distrust {
			doubted++
		}
	}
	if doubted != 2 {
		t.Errorf("%d of 6 are doubted", doubted)
	}
}
