package engine

import (
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// Counters count requests, attempts, connections and their outcomes. The packages that implement the protocols use them too. All fields are
// atomic and may be read and changed at any time. Fields returns the values by log field name.
type Counters struct {
	// Requests.
	Accepted               atomic.Int64 // admitted and passed to the decision module
	Served                 atomic.Int64 // by final decision of the decision module
	Shed                   atomic.Int64
	Failed                 atomic.Int64
	Overdue                atomic.Int64 // answered without a final decision: their deadline passed or this process was stopping
	RejectedOverLimit      atomic.Int64 // answered 503 without admission: too many requests or connections, or workers not known yet
	ClientDisconnects      atomic.Int64 // clients that disconnected before the response
	EarlyClientDisconnects atomic.Int64 // clients that disconnected before their request was read and admitted
	WriteFailures          atomic.Int64 // responses that could not be written completely
	InterruptedRequests    atomic.Int64 // connections that ended within a request: closed, or an error of net/http

	// Requests answered 4xx: the total, and by cause.
	BadRequests       atomic.Int64
	BadHeaders        atomic.Int64 // missing or invalid headers
	BadFraming        atomic.Int64 // ambiguous lengths, or more data than announced
	BadSizes          atomic.Int64 // bodies that exceed the limit
	BadBodies         atomic.Int64 // truncated bodies
	BadClasses        atomic.Int64 // unknown classes
	BadMethods        atomic.Int64
	BadIDs            atomic.Int64 // ids of open or recent requests
	RejectedByWorkers atomic.Int64 // requests that a worker reported as invalid

	// Attempts.
	AttemptsSent   atomic.Int64                             // requested by the decision module
	Outcomes       [dispatch.ResultUnknown + 1]atomic.Int64 // by dispatch.Result
	SentToWarming  atomic.Int64                             // attempts at workers that were warming up
	BadWorkerLines atomic.Int64                             // malformed lines from workers

	// Connections.
	Dials             atomic.Int64 // opened to workers
	ReusedConns       atomic.Int64 // to workers, reused
	StaleConns        atomic.Int64 // to workers, found closed before reuse
	NoFileDescriptor  atomic.Int64 // attempts that failed at the limit of connections or file descriptors
	ClientConns       atomic.Int64 // from clients
	ClientConnsClosed atomic.Int64 // from clients, closed to enforce the limit

	// Discovery and the group.
	EndpointUpdates         atomic.Int64
	MalformedUpdates        atomic.Int64 // malformed lists and endpoints
	WatchFailures           atomic.Int64
	DiscoveryRejections     atomic.Int64 // list requests that discovery rejected
	DiscoveryAddressChanges atomic.Int64 // changes to the list of another discovery address
	OutlierReports          atomic.Int64 // reports by other dispatchers of failing attempts at a worker

	// The process.
	Reloads            atomic.Int64 // reloads of a valid configuration
	BadReloads         atomic.Int64 // reloads of an invalid configuration
	Stalls             atomic.Int64 // stalls of the process
	Panics             atomic.Int64 // of the decision module
	InvalidActions     atomic.Int64 // of the decision module
	UnsupportedActions atomic.Int64 // of the decision module, not supported by the protocols
}

// outcomeNames are the names of attempt outcomes in log fields.
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

// Fields returns all counters by log field name. The names must not change, because operators rely on them.
func (c *Counters) Fields() logrus.Fields {
	fields := logrus.Fields{}
	for name, counter := range map[string]*atomic.Int64{
		"taken":       &c.Accepted,
		"served":      &c.Served,
		"refused":     &c.Shed,
		"failed":      &c.Failed,
		"overdue":     &c.Overdue,
		"turned_away": &c.RejectedOverLimit,
		"gone":        &c.ClientDisconnects,
		"gone_early":  &c.EarlyClientDisconnects,
		"unwritten":   &c.WriteFailures,
		"unreadable":  &c.InterruptedRequests,

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
		"sent_warming":     &c.SentToWarming,
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
		"list_busy":   &c.DiscoveryRejections,
		"list_moves":  &c.DiscoveryAddressChanges,
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
