package engine

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// Counters count what comes in, what goes out and how it ends. The packages that speak the protocols count here too. All fields are
// atomic, and may be read and changed at any time. Fields gives the names that operators read.
type Counters struct {
	// Requests.
	Accepted          atomic.Int64 // admitted: the decision module decides on them
	Served            atomic.Int64 // final decisions of the decision module ...
	Shed              atomic.Int64
	Failed            atomic.Int64
	Overdue           atomic.Int64 // answered without one, as their time was up or this process stopped
	RejectedOverLimit atomic.Int64 // answered 503 before they were admitted: too many requests or connections
	ClientsGone       atomic.Int64 // their clients went before the answer
	ClientsGoneEarly  atomic.Int64 // their clients went before the request was read: not admitted
	WriteFailures     atomic.Int64 // answers that could not be written in full
	Unreadable        atomic.Int64 // connections that ended within a request, by an error of net/http or a close

	// Requests that were answered 4xx: all of them, and why.
	BadRequests       atomic.Int64
	BadHeaders        atomic.Int64 // headers that are missing or invalid
	BadFraming        atomic.Int64 // lengths given in two ways, or shorter than what came
	BadSizes          atomic.Int64 // bodies over the limit
	BadBodies         atomic.Int64 // bodies that did not come in full
	BadClasses        atomic.Int64 // classes that the settings do not have
	BadMethods        atomic.Int64
	BadIDs            atomic.Int64 // ids that are open or were lately
	RejectedByWorkers atomic.Int64 // requests that a worker could not use

	// Attempts.
	AttemptsSent   atomic.Int64                             // ordered by the decision module
	Outcomes       [dispatch.ResultUnknown + 1]atomic.Int64 // by dispatch.Result
	BadWorkerLines atomic.Int64                             // lines of workers that could not be read

	// Connections.
	Dials             atomic.Int64 // to workers: opened
	ReusedConns       atomic.Int64 // to workers: used again
	StaleConns        atomic.Int64 // to workers: found closed before they were used again
	NoFileDescriptor  atomic.Int64 // attempts that found no descriptor left
	ClientConns       atomic.Int64 // from clients
	ClientConnsClosed atomic.Int64 // from clients: closed to keep the limit

	// Discovery and the group.
	EndpointUpdates  atomic.Int64
	MalformedUpdates atomic.Int64 // lists and endpoints that could not be read
	WatchFailures    atomic.Int64
	DiscoveryBusy    atomic.Int64 // calls for the list that discovery rejected
	DiscoveryMoves   atomic.Int64 // lists taken over from another address
	OutlierReports   atomic.Int64 // from other dispatchers: attempts fail at a worker

	// The process.
	Reloads            atomic.Int64 // configurations that were read again and are in force
	BadReloads         atomic.Int64 // configurations that were read again and are invalid
	Stalls             atomic.Int64 // times that the whole process stood still
	Panics             atomic.Int64 // of the decision module
	InvalidActions     atomic.Int64 // of the decision module
	UnsupportedActions atomic.Int64 // of the decision module: no protocol here can express them
}

// outcomeNames are the names of outcomes in the log fields.
var outcomeNames = [...]string{
	dispatch.ResultOK:           "ok",
	dispatch.ResultFailed:       "failed",
	dispatch.ResultOverloaded:   "full",
	dispatch.ResultTimedOut:     "timed_out",
	dispatch.ResultUnreachable:  "unreachable",
	dispatch.ResultDisconnected: "disconnected",
	dispatch.ResultCancelled:    "cancelled",
	dispatch.ResultNotSent:      "not_sent",
	dispatch.ResultUnknown:      "unknown",
}

// recordAnswer counts a final decision of the decision module.
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

// recordOutcome counts the outcome of an attempt.
func (c *Counters) recordOutcome(result dispatch.Result) {
	c.Outcomes[min(result, dispatch.ResultUnknown)].Add(1)
}

// Fields returns all counters by the names that operators read in the log, which must not change.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, counter := range map[string]*atomic.Int64{
		"taken":       &c.Accepted,
		"served":      &c.Served,
		"refused":     &c.Shed,
		"failed":      &c.Failed,
		"overdue":     &c.Overdue,
		"turned_away": &c.RejectedOverLimit,
		"gone":        &c.ClientsGone,
		"gone_early":  &c.ClientsGoneEarly,
		"unwritten":   &c.WriteFailures,
		"unreadable":  &c.Unreadable,

		"bad_requests": &c.BadRequests,
		"bad_heads":    &c.BadHeaders,
		"bad_framing":  &c.BadFraming,
		"bad_sizes":    &c.BadSizes,
		"bad_bodies":   &c.BadBodies,
		"bad_classes":  &c.BadClasses,
		"bad_methods":  &c.BadMethods,
		"bad_ids":      &c.BadIDs,
		"rejected":     &c.RejectedByWorkers,

		"sent":             &c.AttemptsSent,
		"bad_runner_lines": &c.BadWorkerLines,

		"dials":         &c.Dials,
		"reused":        &c.ReusedConns,
		"stale_conns":   &c.StaleConns,
		"no_descriptor": &c.NoFileDescriptor,
		"client_conns":  &c.ClientConns,
		"clients_cut":   &c.ClientConnsClosed,

		"news":        &c.EndpointUpdates,
		"bad_news":    &c.MalformedUpdates,
		"watch_broke": &c.WatchFailures,
		"list_busy":   &c.DiscoveryBusy,
		"list_moves":  &c.DiscoveryMoves,
		"warnings":    &c.OutlierReports,

		"reloads":     &c.Reloads,
		"bad_reloads": &c.BadReloads,
		"stalls":      &c.Stalls,
		"panics":      &c.Panics,
		"faults":      &c.InvalidActions,
		"unspoken":    &c.UnsupportedActions,
	} {
		fields[name] = counter.Load()
	}
	for result, name := range outcomeNames {
		fields["ended_"+name] = c.Outcomes[result].Load()
	}
	return fields
}
