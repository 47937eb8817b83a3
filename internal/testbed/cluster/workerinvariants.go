package cluster

import (
	"fmt"
	"slices"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// outlierReportWithin is how long an outlier report may take to all members.
const outlierReportWithin = time.Second

// What the other members must still send to a worker that fails for one member. After its first report they may probe the worker with
// single requests for some seconds.
const (
	useSettleTime = 3 * time.Second
	minUseShare   = 0.25 // of the requests that they send to a worker on average
)

// endpointViolations returns the attempts at a worker that another member knew to be draining for so long that all must have known it.
// The caller holds the lock.
func (h *harness) endpointViolations(s *testbed.Environment) (out []invariant.Violation) {
	for _, d := range s.Ledger().Deliveries() {
		if d.State != invariant.Draining || d.Written == 0 {
			continue
		}
		knownAt := h.faultFreeFrom(d.Written) + convergeWithin
		for _, a := range s.Ledger().Attempts() {
			if a.Worker != d.Worker || a.Dispatcher == d.Dispatcher || a.First <= knownAt {
				continue
			}
			if !hasNewerDelivery(s.Ledger().Deliveries(), d, a) {
				out = append(out, invariant.Violation{Rule: EndpointRule, Kind: "sent", At: a.First, Dispatcher: a.Dispatcher, ID: a.ID, Lines: []string{
					fmt.Sprintf("dispatcher %d was told at %.3fs that the worker drains", d.Dispatcher, d.Written.Seconds())}})
			}
		}
	}
	return out
}

// hasNewerDelivery reports whether an attempt's dispatcher had, when it began, the worker's state from its own discovery or configuration
// and that state is as new as the draining delivery or newer.
func hasNewerDelivery(deliveries []*invariant.Delivery, draining *invariant.Delivery, a *invariant.Attempt) bool {
	return slices.ContainsFunc(deliveries, func(d *invariant.Delivery) bool {
		isNewer := d.Incarnation > draining.Incarnation || d.Incarnation == draining.Incarnation && d.AtAgent >= draining.AtAgent
		wasWritten := d.Written > 0 && d.Written <= a.First
		wasConfigured := d.State == invariant.Up && d.AtAgent <= a.First
		return d.Dispatcher == a.Dispatcher && d.Worker == draining.Worker && isNewer && (wasWritten || wasConfigured)
	})
}

// outlierViolations returns the attempts of non-idempotent requests at the first worker after some member has seen two requests fail
// there, and its report must have reached all.
func outlierViolations(s *testbed.Environment, from, to time.Duration) (out []invariant.Violation) {
	classes := map[string]int{}
	for _, t := range s.Ledger().Tries() {
		classes[t.ID] = t.Class
	}
	secondFailure := firstSecondFailure(s.Ledger().Attempts(), from, to)
	for _, a := range s.Ledger().Attempts() {
		isLate := a.Worker == 0 && a.Last > secondFailure+outlierReportWithin && a.Last < to
		if isLate && s.Day().Scenario.Classes[classes[a.ID]].Effect == scenario.Unsafe {
			out = append(out, invariant.Violation{Rule: OutlierRule, Kind: "lost", At: a.Last, Dispatcher: a.Dispatcher, ID: a.ID, Lines: []string{
				fmt.Sprintf("a member had seen two jobs fail at the worker by %.3fs", secondFailure.Seconds())}})
		}
	}
	return out
}

// firstSecondFailure returns when a member first saw its second request since from fail at the first worker; to, if none did before.
func firstSecondFailure(attempts []*invariant.Attempt, from, to time.Duration) time.Duration {
	failures, first := map[int]int{}, to
	for _, a := range attempts {
		if a.Worker != 0 || a.End != invariant.Errored || a.Ended < from {
			continue
		}
		failures[a.Dispatcher]++
		if failures[a.Dispatcher] >= 2 {
			first = min(first, a.Ended)
		}
	}
	return first
}

// useViolations returns the members that leave the first worker alone while it fails for another member only.
func useViolations(attempts []*invariant.Attempt, failingFor int, from, to time.Duration) (out []invariant.Violation) {
	sent, sentToFirst := map[int]int{}, map[int]int{} // by dispatcher
	usedWorkers := map[int]bool{}
	for _, a := range attempts {
		if a.Last < from+useSettleTime || a.Last >= to || a.Dispatcher == failingFor {
			continue
		}
		usedWorkers[a.Worker] = true
		sent[a.Dispatcher]++
		if a.Worker == 0 {
			sentToFirst[a.Dispatcher]++
		}
	}
	for dispatcher, n := range sent {
		mean := float64(n) / float64(len(usedWorkers))
		if float64(sentToFirst[dispatcher]) < minUseShare*mean {
			out = append(out, invariant.Violation{Rule: UseRule, Kind: "left alone", At: to, Dispatcher: dispatcher, Lines: []string{
				fmt.Sprintf("%d jobs went to the worker that fails for dispatcher %d alone, %.1f to the mean one", sentToFirst[dispatcher], failingFor, mean)}})
		}
	}
	return out
}
