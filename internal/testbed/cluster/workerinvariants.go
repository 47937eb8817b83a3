package cluster

import (
	"fmt"
	"slices"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// outlierReportWithin is the time within which an outlier report has to reach all members.
const outlierReportWithin = time.Second

// The share of requests that the other members must still send to a worker that fails for one member. After the first report of that
// member they may probe the worker with single requests for some seconds.
const (
	useSettleTime = 3 * time.Second // in which single probes are enough
	minUseShare   = 0.25            // of the mean number of requests per worker
)

// endpointViolations returns the attempts at a draining worker that began after the other members must have learned its state from the
// member that discovery reported it to. The caller holds the lock.
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
					fmt.Sprintf("discovery reported the worker as draining to dispatcher %d at %.3fs", d.Dispatcher, d.Written.Seconds())}})
			}
		}
	}
	return out
}

// hasNewerDelivery reports whether the attempt's dispatcher, when the attempt began, had a state of the worker from its own discovery or
// configuration that is at least as new as the draining one.
func hasNewerDelivery(deliveries []*invariant.Delivery, draining *invariant.Delivery, a *invariant.Attempt) bool {
	return slices.ContainsFunc(deliveries, func(d *invariant.Delivery) bool {
		isNewer := d.Incarnation > draining.Incarnation || d.Incarnation == draining.Incarnation && d.AtAgent >= draining.AtAgent
		wasWritten := d.Written > 0 && d.Written <= a.First
		wasConfigured := d.State == invariant.Up && d.AtAgent <= a.First
		return d.Dispatcher == a.Dispatcher && d.Worker == draining.Worker && isNewer && (wasWritten || wasConfigured)
	})
}

// outlierViolations returns the attempts of non-idempotent requests at the first worker after a member saw two requests fail there and
// its report must have reached all members.
func outlierViolations(s *testbed.Environment, from, to time.Duration) (out []invariant.Violation) {
	classes := map[string]int{}
	for _, t := range s.Ledger().Tries() {
		classes[t.ID] = t.Class
	}
	secondFailure := earliestSecondFailure(s.Ledger().Attempts(), from, to)
	for _, a := range s.Ledger().Attempts() {
		isLate := a.Worker == 0 && a.Last > secondFailure+outlierReportWithin && a.Last < to
		if isLate && s.Schedule().Scenario.Classes[classes[a.ID]].Effect == scenario.Unsafe {
			out = append(out, invariant.Violation{Rule: OutlierRule, Kind: "lost", At: a.Last, Dispatcher: a.Dispatcher, ID: a.ID, Lines: []string{
				fmt.Sprintf("a member had seen two requests fail at the worker by %.3fs", secondFailure.Seconds())}})
		}
	}
	return out
}

// earliestSecondFailure returns the earliest time at which a member had seen two requests fail at the first worker since from, or to if
// none had.
func earliestSecondFailure(attempts []*invariant.Attempt, from, to time.Duration) time.Duration {
	failures, earliest := map[int]int{}, to
	for _, a := range attempts {
		if a.Worker != 0 || a.End != invariant.Errored || a.Ended < from {
			continue
		}
		failures[a.Dispatcher]++
		if failures[a.Dispatcher] >= 2 {
			earliest = min(earliest, a.Ended)
		}
	}
	return earliest
}

// useViolations returns the members that avoid the first worker although it fails only for another member.
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
				fmt.Sprintf("it sent %d requests to the worker that fails only for dispatcher %d; the mean per worker is %.1f", sentToFirst[dispatcher], failingFor, mean)}})
		}
	}
	return out
}
