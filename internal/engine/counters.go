package engine

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// Counters count what comes in, what goes out and how it ends. Every field may be read and changed at any time.
type Counters struct {
	Accepted               atomic.Int64 // requests that reached the module
	Served, Shed, Failed   atomic.Int64 // final answers that the module decided on
	ClientsGone            atomic.Int64 // clients that went first
	ClientsGoneEarly       atomic.Int64 // ... before we came to read their request: it was not taken
	BadRequests            atomic.Int64 // answered 4xx: the sum of the next
	BadHeaders             atomic.Int64 // ... headers that are missing or make no sense
	BadFraming             atomic.Int64 // ... lengths given in two ways, or shorter than what came
	BadSizes               atomic.Int64 // ... bodies over the limit
	BadBodies              atomic.Int64 // ... bodies that did not come whole
	BadClasses, BadMethods atomic.Int64
	BadIDs                 atomic.Int64 // ... ids that are open or were of late
	RejectedByWorkers      atomic.Int64 // ... that a worker could not use
	Unreadable             atomic.Int64 // connections that ended within a request, by an error of net/http's or a close
	RejectedOverLimit      atomic.Int64 // answered 503 before the module: a limit was reached
	OutlierReports         atomic.Int64 // that jobs fail at a worker, from others of the group
	Overdue                atomic.Int64 // answered by the front, as the module had not in time or we had to stop
	WriteFailures          atomic.Int64 // answers that could not be written whole

	AttemptsSent atomic.Int64 // attempts ordered
	Outcomes     [dispatch.ResultUnknown + 1]atomic.Int64

	Dials, ReusedConns     atomic.Int64 // connections to workers: set up, used again
	StaleConns             atomic.Int64 // found closed before they were used again
	NoFileDescriptor       atomic.Int64 // attempts that found none left
	ClientConns            atomic.Int64 // connections from clients
	ClientConnsClosed      atomic.Int64 // closed to keep the limit
	BadWorkerLines         atomic.Int64
	MalformedUpdates       atomic.Int64 // malformed lines and entries from discovery
	EndpointUpdates        atomic.Int64
	WatchFailures          atomic.Int64
	DiscoveryBusy          atomic.Int64 // calls for the list that discovery had no room for
	DiscoveryMoves         atomic.Int64 // lists taken over from another address
	Reloads                atomic.Int64 // configurations read again ...
	BadReloads             atomic.Int64 // ... and those not taken, as they made no sense
	Stalls                 atomic.Int64 // times that the whole process stood still
	Panics, InvalidActions atomic.Int64 // of the module
	UnsupportedActions     atomic.Int64 // actions that sockets have no words for
}

// outcomeNames are the words for outcomes in the log.
var outcomeNames = [...]string{
	dispatch.ResultOK: "ok", dispatch.ResultFailed: "failed", dispatch.ResultOverloaded: "full", dispatch.ResultTimedOut: "timed_out",
	dispatch.ResultUnreachable: "unreachable", dispatch.ResultDisconnected: "disconnected", dispatch.ResultCancelled: "cancelled",
	dispatch.ResultNotSent: "not_sent", dispatch.ResultUnknown: "unknown",
}

func (c *Counters) recordAnswer(kind DecisionKind) {
	switch kind {
	case DecisionServe:
		c.Served.Add(1)
	case DecisionShed:
		c.Shed.Add(1)
	case DecisionFail:
		c.Failed.Add(1)
	}
}

func (c *Counters) recordOutcome(result dispatch.Result) {
	c.Outcomes[min(result, dispatch.ResultUnknown)].Add(1)
}

// Fields are all counters under the names that the on-call page uses.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, counter := range map[string]*atomic.Int64{
		"taken": &c.Accepted, "served": &c.Served, "refused": &c.Shed, "failed": &c.Failed, "gone": &c.ClientsGone, "gone_early": &c.ClientsGoneEarly,
		"bad_requests": &c.BadRequests, "turned_away": &c.RejectedOverLimit, "overdue": &c.Overdue, "warnings": &c.OutlierReports,
		"bad_heads": &c.BadHeaders, "bad_framing": &c.BadFraming, "bad_sizes": &c.BadSizes, "bad_bodies": &c.BadBodies,
		"bad_classes": &c.BadClasses, "bad_methods": &c.BadMethods, "bad_ids": &c.BadIDs, "rejected": &c.RejectedByWorkers, "unreadable": &c.Unreadable,
		"unwritten": &c.WriteFailures, "sent": &c.AttemptsSent, "dials": &c.Dials, "reused": &c.ReusedConns,
		"stale_conns": &c.StaleConns, "no_descriptor": &c.NoFileDescriptor, "client_conns": &c.ClientConns,
		"clients_cut": &c.ClientConnsClosed, "bad_runner_lines": &c.BadWorkerLines, "bad_news": &c.MalformedUpdates, "news": &c.EndpointUpdates,
		"watch_broke": &c.WatchFailures, "list_busy": &c.DiscoveryBusy, "list_moves": &c.DiscoveryMoves, "reloads": &c.Reloads, "bad_reloads": &c.BadReloads,
		"panics": &c.Panics, "faults": &c.InvalidActions, "unspoken": &c.UnsupportedActions, "stalls": &c.Stalls,
	} {
		fields[name] = counter.Load()
	}
	for i, name := range outcomeNames {
		fields["ended_"+name] = c.Outcomes[i].Load()
	}
	return fields
}
