package engine

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/settings"
)

// Limited says that the operator's limits leave a request no place.
type Limited struct {
	Reason   admission.Reason
	Route    string
	ComeBack time.Duration // at the least; 0: no word
}

func (l *Limited) Error() string {
	return fmt.Sprintf("no place left: %s of %s", l.Reason, l.Route)
}

// admitter is the operator's routes and limits. It is used under the store's lock.
type admitter struct {
	table   *routes.Table
	gate    *admission.Gate
	most    int // attempts that the platform allows
	classes []dispatch.Class
	narrow  []dispatch.Narrow // by route, with what fallbacks add
}

// hold is what an open request holds of the operator's limits; the zero hold is nothing. It is given back once.
type hold struct {
	gate     *admission.Gate
	slot     admission.Slot
	class    *dispatch.Class
	landed   dispatch.Time
	comeBack time.Duration
}

// Limit sets the operator's routes and limits, or others in their place. Open requests keep what they hold and what they
// were allowed; buckets and counts go on where a route keeps its name.
func (s *Store) Limit(t *routes.Table, c admission.Config, classes []dispatch.Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit(t, c, classes)
}

func (s *Store) limit(t *routes.Table, c admission.Config, classes []dispatch.Class) {
	a := &admitter{table: t, most: s.attempts, classes: classes}
	for i := range t.Len() {
		a.narrow = append(a.narrow, t.Narrow(i, s.attempts))
	}
	if s.admitter != nil {
		a.gate = s.admitter.gate
		a.gate.Swap(since(s.now()), c)
	} else {
		a.gate = admission.New(c)
	}
	s.admitter = a
}

// LimitFields are the counters of the limits, by reason; nil where there are none.
func (s *Store) LimitFields() logrus.Fields {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.admitter == nil {
		return nil
	}
	f := logrus.Fields{"limit_held": s.admitter.gate.Open(), "limit_now": s.admitter.gate.Limit()}
	for reason, n := range s.admitter.gate.Counts() {
		f["limit_"+admission.Reason(reason).String()] = n
	}
	return f
}

// since is a moment of the module's clock as the gate takes it.
func since(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// admit asks the operator's limits, along the fallbacks of the request's route. The lock is held.
func (s *Store) admit(now dispatch.Time, j *Job, class, tenant int) (hold, dispatch.Narrow, error) {
	a := s.admitter
	if a == nil {
		return hold{}, dispatch.Narrow{}, nil
	}
	first := a.table.Find(&routes.Request{Class: settings.Plain(j.Class), Path: j.Path, Tenant: settings.Plain(j.Tenant), Method: j.Method})
	var no *Limited
	for _, i := range a.table.Chain(first) {
		v := a.gate.Ask(since(now), admission.Ask{Route: i, Tenant: tenant, Key: settings.Key(j.Key), Retry: j.Retry})
		if v.Reason == admission.Admitted {
			h := hold{gate: a.gate, slot: v.Slot, class: &a.classes[class], landed: now, comeBack: a.table.Route(i).Limit.ComeBack}
			return h, a.narrow[i], nil
		}
		if no == nil {
			no = &Limited{Reason: v.Reason, Route: a.table.Route(i).Name, ComeBack: v.Wait}
		}
	}
	return hold{}, dispatch.Narrow{}, no
}

// release gives back what a request holds.
func (h *hold) release(now dispatch.Time, end admission.End) {
	if h.gate != nil {
		h.gate.Done(since(now), h.slot, end)
		h.gate = nil
	}
}

// sent says that a request has gone out to a worker.
func (h *hold) sent() {
	if h.gate != nil {
		h.gate.Sent(&h.slot)
	}
}

// ended gives back what a request holds whose final answer has been decided on. It was timely where the answer came within
// the class's aim, with what the job itself took.
func (h *hold) ended(r *Request, k OrderKind) {
	if h.gate == nil {
		return
	}
	now, end := r.s.now(), admission.Late
	if k == Served {
		run := dispatch.Time(0)
		for _, a := range r.attempts {
			if a.began > 0 {
				run = max(run, now-a.began)
			}
		}
		if float64(now-h.landed) <= float64(h.class.Aim)+h.class.Stretch*float64(run) {
			end = admission.Timely
		}
	}
	h.release(now, end)
}
