package engine

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// Counters count what comes in, what goes out and how it ends. Every field may be read and changed at any time.
type Counters struct {
	Taken                   atomic.Int64 // requests that reached the module
	Served, Refused, Failed atomic.Int64 // final answers that the module decided on
	Gone                    atomic.Int64 // clients that went first
	GoneEarly               atomic.Int64 // ... before we came to read their request: it was not taken
	BadRequests             atomic.Int64 // answered 4xx: the sum of the next
	BadHeads                atomic.Int64 // ... headers that are missing or make no sense
	BadFraming              atomic.Int64 // ... lengths given in two ways, or shorter than what came
	BadSizes                atomic.Int64 // ... bodies over the limit
	BadBodies               atomic.Int64 // ... bodies that did not come whole
	BadClasses, BadMethods  atomic.Int64
	BadIDs                  atomic.Int64 // ... ids that are open or were of late
	Rejected                atomic.Int64 // ... that a worker could not use
	Unreadable              atomic.Int64 // connections that ended within a request, by an error of net/http's or a close
	TurnedAway              atomic.Int64 // answered 503 before the module: a limit was reached
	Warnings                atomic.Int64 // that jobs fail at a worker, from others of the group
	Overdue                 atomic.Int64 // answered by the front, as the module had not in time or we had to stop
	Unwritten               atomic.Int64 // answers that could not be written whole

	Sent     atomic.Int64 // attempts ordered
	Outcomes [dispatch.UnknownResult + 1]atomic.Int64

	Dials, Reused  atomic.Int64 // connections to workers: set up, used again
	StaleConns     atomic.Int64 // found closed before they were used again
	NoDescriptor   atomic.Int64 // attempts that found none left
	ClientConns    atomic.Int64 // connections from clients
	ClientsCut     atomic.Int64 // closed to keep the limit
	BadRunnerLines atomic.Int64
	BadNews        atomic.Int64 // malformed lines and entries from discovery
	News           atomic.Int64
	WatchBroke     atomic.Int64
	ListBusy       atomic.Int64 // calls for the list that discovery had no room for
	ListMoves      atomic.Int64 // lists taken over from another address
	Reloads        atomic.Int64 // configurations read again ...
	BadReloads     atomic.Int64 // ... and those not taken, as they made no sense
	Stalls         atomic.Int64 // times that the whole process stood still
	Panics, Faults atomic.Int64 // of the module
	Unspoken       atomic.Int64 // actions that sockets have no words for
}

// resultNames are the words for outcomes in the log.
var resultNames = [...]string{
	dispatch.OK: "ok", dispatch.Failed: "failed", dispatch.Full: "full", dispatch.TimedOut: "timed_out",
	dispatch.Unreachable: "unreachable", dispatch.Disconnected: "disconnected", dispatch.Cancelled: "cancelled",
	dispatch.NotSent: "not_sent", dispatch.UnknownResult: "unknown",
}

func (c *Counters) answered(k OrderKind) {
	switch k {
	case Served:
		c.Served.Add(1)
	case Refused:
		c.Refused.Add(1)
	case GivenUp:
		c.Failed.Add(1)
	}
}

func (c *Counters) ended(r dispatch.Result) { c.Outcomes[min(r, dispatch.UnknownResult)].Add(1) }

// Fields are all counters under the names that the on-call page uses.
func (c *Counters) Fields() logrus.Fields {
	f := logrus.Fields{}
	for name, v := range map[string]*atomic.Int64{
		"taken": &c.Taken, "served": &c.Served, "refused": &c.Refused, "failed": &c.Failed, "gone": &c.Gone, "gone_early": &c.GoneEarly,
		"bad_requests": &c.BadRequests, "turned_away": &c.TurnedAway, "overdue": &c.Overdue, "warnings": &c.Warnings,
		"bad_heads": &c.BadHeads, "bad_framing": &c.BadFraming, "bad_sizes": &c.BadSizes, "bad_bodies": &c.BadBodies,
		"bad_classes": &c.BadClasses, "bad_methods": &c.BadMethods, "bad_ids": &c.BadIDs, "rejected": &c.Rejected, "unreadable": &c.Unreadable,
		"unwritten": &c.Unwritten, "sent": &c.Sent, "dials": &c.Dials, "reused": &c.Reused,
		"stale_conns": &c.StaleConns, "no_descriptor": &c.NoDescriptor, "client_conns": &c.ClientConns,
		"clients_cut": &c.ClientsCut, "bad_runner_lines": &c.BadRunnerLines, "bad_news": &c.BadNews, "news": &c.News,
		"watch_broke": &c.WatchBroke, "list_busy": &c.ListBusy, "list_moves": &c.ListMoves, "reloads": &c.Reloads, "bad_reloads": &c.BadReloads,
		"panics": &c.Panics, "faults": &c.Faults, "unspoken": &c.Unspoken, "stalls": &c.Stalls,
	} {
		f[name] = v.Load()
	}
	for i, name := range resultNames {
		f["ended_"+name] = c.Outcomes[i].Load()
	}
	return f
}
