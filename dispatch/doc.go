// Package dispatch is the decision module of a dispatcher: it decides which worker runs a request, when it is
// retried, hedged or migrated, which workers are ejected as outliers or are warming up, and which requests
// are rejected under overload.
//
// The package is pure: it does no I/O, starts no goroutine and reads no clock. The caller maps the names of
// workers, zones, kinds, classes and tenants to dense ids, passes events to Dispatcher.Handle in
// chronological order, and carries out the returned actions in order. The same settings, seed and events
// result in the same actions.
//
// The public interface is in dispatch/types.go, settings.go, event.go and action.go.
//
// # The four rules
//
// Dispatcher.send is the only function that emits an attempt, and it calls Dispatcher.maySend first;
// Dispatcher.respond is the only one that emits a final answer. Both are in send.go. The rules hold for every
// sequence of events:
//
//  1. One answer, in time: no request is sent or answered after its deadline, or more often than allowed.
//  2. No duplicate effect: a request that may have run is sent again only if its class allows it (retry.go).
//  3. Only ready workers: nothing is sent to a worker that is draining, gone or disabled (endpoints.go).
//  4. Slow start: a worker is not overloaded while warming up (slowstart.go).
//
// # Files
//
// The decisions: send.go (attempts and final answers), admission.go, queueing.go, placement.go (candidates
// and the choice among them), affinity.go (consistent hashing of keys), capacity.go (learned concurrency
// limits), estimate.go (run times), slowstart.go, slowstartbudget.go (limits of a worker that is warming up),
// retry.go, hedging.go (hedged requests, migration, cancellation), outlier.go, shedding.go (load shedding and
// quotas), outcome.go (results of attempts), endpoints.go and peers.go (load reports between dispatchers).
//
// The state: dispatcher.go, reconfigure.go, validate.go, request.go, worker.go, fleet.go, messages.go,
// queue.go, recentcount.go, timers.go and ring.go.
package dispatch
