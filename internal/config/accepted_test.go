package config

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"birchfork/dispatch"
	"birchfork/internal/routes"
)

// policyGenerator lists the values of each key in random files. Some are invalid in some sections.
var policyGenerator = []struct {
	key    string
	values []string
}{
	{keyTimeout, []string{"'1s'", "'4s'", "'9s'"}},
	{keyAttemptTimeout, []string{"'300ms'", "'900ms'", "'4s'"}},
	{keyMaxQueueTime, []string{"'50ms'", "'900ms'"}},
	{keyMaxAttempts, []string{"1", "2", "3", "6"}},
	{keyHedging, []string{"true", "false", "false"}},
	{keyHedgeDelay, []string{"'200ms'"}},
	{keyRetryMode, []string{"'lawful'", "'unrun'", "'any'"}},
	{keyRetryBackoff, []string{"'20ms'", "'200ms'"}},
	{keyRetryBudget, []string{"0.1", "0.5"}},
	{keyRate, []string{"0", "0.5", "30"}},
	{keyMaxConcurrent, []string{"1", "5"}},
	{keyPriority, []string{"0", "5"}},
}

func generatePolicy(t *rapid.T, b *strings.Builder) {
	for _, generator := range policyGenerator {
		if rapid.IntRange(0, 5).Draw(t, generator.key) == 0 {
			fmt.Fprintf(b, "%s = %s\n", generator.key, rapid.SampledFrom(generator.values).Draw(t, generator.key))
		}
	}
}

// generateFile returns a random file that may be valid.
func generateFile(t *rapid.T) string {
	var b strings.Builder
	if rapid.Bool().Draw(t, "total") {
		b.WriteString("[total]\nconcurrent = 20\nadaptive = true\n")
	}
	b.WriteString("[default]\n")
	generatePolicy(t, &b)
	for _, name := range testPlatform().ClassNames {
		if rapid.Bool().Draw(t, name) {
			fmt.Fprintf(&b, "[[class]]\nname = '%s'\n", name)
			generatePolicy(t, &b)
		}
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "routes") {
		fmt.Fprintf(&b, "[[route]]\nname = 'r%d'\n", i)
		if class := rapid.SampledFrom([]string{"", "journey-search", "ticket-issue", "booking"}).Draw(t, "class"); class != "" {
			fmt.Fprintf(&b, "class = '%s'\n", class)
		}
		if path := rapid.SampledFrom([]string{"", "/", "/ticket-issue/", "/journey-search/a"}).Draw(t, "path"); path != "" {
			fmt.Fprintf(&b, "path = '%s'\n", path)
		}
		generatePolicy(t, &b)
	}
	return b.String()
}

// simulation drives the decision module with random events and checks each of its actions against the platform's rules and the route
// limits.
type simulation struct {
	*rapid.T
	platform   Platform
	table      *routes.Table
	dispatcher *dispatch.Dispatcher
	requests   []*simulatedRequest
	now        dispatch.Time
	timer      dispatch.Time // 0: none
}

type simulatedRequest struct {
	classID   int
	answers   int
	arrivedAt dispatch.Time
	deadline  dispatch.Time
	limits    dispatch.RouteLimits
	attempts  []simulatedAttempt
}

type simulatedAttempt struct {
	sentAt   dispatch.Time
	endedAt  dispatch.Time
	inFlight bool
	neverRan bool
}

func (r *simulatedRequest) mayHaveRun() bool {
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return true
		}
	}
	return false
}

func (r *simulatedRequest) inFlight() int {
	count := 0
	for _, attempt := range r.attempts {
		if attempt.inFlight {
			count++
		}
	}
	return count
}

func (s *simulation) handle(event dispatch.Event) {
	for _, action := range s.dispatcher.Handle(s.now, &event, nil) {
		switch action.Kind {
		case dispatch.SetTimer:
			s.timer = s.now + action.Wait
		case dispatch.Send, dispatch.Reject, dispatch.Fail:
			request := s.requests[action.Request]
			if request.answers > 0 {
				s.Fatalf("action after the final answer: %+v", action)
			}
			if action.Kind == dispatch.Send {
				s.checkSend(action, request)
			} else {
				s.checkAnswer(action, request)
			}
		}
	}
}

func (s *simulation) checkAnswer(action dispatch.Action, request *simulatedRequest) {
	request.answers++
	idempotency := s.platform.Settings.Classes[request.classID].Idempotency
	if action.Kind == dispatch.Reject && idempotency == dispatch.NonIdempotent && request.mayHaveRun() {
		s.Fatal("rejected a request that may have run")
	}
}

func (s *simulation) checkSend(action dispatch.Action, request *simulatedRequest) {
	s.checkResend(request)
	s.checkBounds(request)
	if action.Wait != request.limits.AttemptTimeout {
		s.Fatalf("attempt timeout %v, want %v", action.Wait, request.limits.AttemptTimeout)
	}
	request.attempts = append(request.attempts, simulatedAttempt{sentAt: s.now, inFlight: true})
}

// checkResend checks a hedge or retry against the class's idempotency and the limits on hedging and retries.
func (s *simulation) checkResend(request *simulatedRequest) {
	limits, inFlight := request.limits, request.inFlight()
	idempotency := s.platform.Settings.Classes[request.classID].Idempotency
	mayRepeat := idempotency != dispatch.NonIdempotent && !limits.RetryNotRunOnly
	mayHedge := idempotency != dispatch.NonIdempotent && !limits.NoHedging
	if request.mayHaveRun() && !mayRepeat {
		s.Fatalf("resent a request that may have run: class %d, %+v", request.classID, limits)
	}
	if inFlight > 0 && !mayHedge || inFlight > 1 {
		s.Fatalf("%d attempts already in flight: class %d, %+v", inFlight, request.classID, limits)
	}
	if inFlight > 0 && s.now < request.attempts[0].sentAt+limits.HedgeDelay {
		s.Fatalf("hedged after %v, want at least %v", s.now-request.attempts[0].sentAt, limits.HedgeDelay)
	}
	if limits.RetryBackoff > 0 && inFlight == 0 && len(request.attempts) > 0 {
		last := request.attempts[len(request.attempts)-1]
		if s.now < last.endedAt+limits.RetryBackoff {
			s.Fatalf("retried after %v, want at least %v", s.now-last.endedAt, limits.RetryBackoff)
		}
	}
}

// checkBounds checks an attempt against the limits on attempts and time.
func (s *simulation) checkBounds(request *simulatedRequest) {
	limits, settings := request.limits, &s.platform.Settings
	attempts := len(request.attempts)
	if attempts >= settings.MaxAttempts || limits.MaxAttempts > 0 && attempts >= limits.MaxAttempts {
		s.Fatalf("attempt %d, want at most %d", attempts+1, limits.MaxAttempts)
	}
	if s.now >= request.deadline || limits.Timeout > 0 && s.now >= request.arrivedAt+limits.Timeout {
		s.Fatalf("sent %v after its arrival, want before the deadline after %v and the timeout %v (0: none)", s.now-request.arrivedAt, request.deadline-request.arrivedAt, limits.Timeout)
	}
	queuedFor := s.now - request.arrivedAt
	if limits.MaxQueueTime > 0 && attempts == 0 && queuedFor > limits.MaxQueueTime+settings.Tick {
		s.Fatalf("sent after queueing for %v, want at most %v", queuedFor, limits.MaxQueueTime)
	}
}

func (s *simulation) listWorkers() {
	workers := make([]dispatch.Worker, 4)
	for i := range workers {
		workers[i] = dispatch.Worker{ID: dispatch.WorkerID(i), Kind: -1, Zone: -1, Tag: uint64(i)}
	}
	s.handle(dispatch.Event{Kind: dispatch.EndpointSnapshot, Version: 1, Workers: workers})
}

// advance advances the clock by a random time and fires the timers that become due.
func (s *simulation) advance() {
	until := s.now + dispatch.Time(rapid.IntRange(1, 150).Draw(s.T, "ms"))*dispatch.Millisecond
	for s.timer != 0 && s.timer <= until {
		s.now, s.timer = s.timer, 0
		s.handle(dispatch.Event{Kind: dispatch.TimerFired})
	}
	s.now = until
}

func (s *simulation) arrive() {
	classID := rapid.IntRange(0, 2).Draw(s.T, "class")
	name, deadline := s.platform.ClassNames[classID], s.platform.Settings.Classes[classID].Deadline
	route := s.table.Find(&routes.Request{Class: name, Path: "/" + name + "/a", Method: "POST"})
	limits := s.table.RouteLimits(route, s.platform.Settings.MaxAttempts)
	s.requests = append(s.requests, &simulatedRequest{classID: classID, arrivedAt: s.now, deadline: s.now + deadline, limits: limits})
	s.handle(dispatch.Event{
		Kind: dispatch.RequestArrived, Request: dispatch.RequestID(len(s.requests) - 1), Class: classID, Tenant: -1,
		TimeLeft: deadline, Slots: 1, RouteLimits: limits,
	})
}

// endAttempts ends some of the attempts in flight.
func (s *simulation) endAttempts() {
	for id, request := range s.requests {
		for i := range request.attempts {
			if request.attempts[i].inFlight && !rapid.Bool().Draw(s.T, "stays") {
				s.endAttempt(dispatch.RequestID(id), i)
			}
		}
	}
}

func (s *simulation) endAttempt(id dispatch.RequestID, i int) {
	result := rapid.SampledFrom([]dispatch.Result{
		dispatch.ResultOK, dispatch.ResultFailed, dispatch.ResultOverloaded, dispatch.ResultTimedOut, dispatch.ResultUnreachable, dispatch.ResultDisconnected,
	}).Draw(s.T, "result")
	request := s.requests[id]
	attempt := &request.attempts[i]
	attempt.inFlight = false
	attempt.endedAt = s.now
	attempt.neverRan = result == dispatch.ResultOverloaded || result == dispatch.ResultUnreachable
	if result == dispatch.ResultOK && request.answers == 0 {
		request.answers++
	}
	s.handle(dispatch.Event{
		Kind: dispatch.AttemptEnded, Request: id, Attempt: i, Result: result, Final: request.answers > 0,
		Report: dispatch.LoadReport{FreeSlots: -1, QueueLength: -1},
	})
}

// With any file that passes the checks, the decision module does not break the platform's rules or the route limits under random events.
func TestDecode_AcceptedFileKeepsRules(t *testing.T) {
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		platform := testPlatform()
		config, err := Decode("f", []byte(generateFile(t)), platform)
		if err != nil {
			return
		}
		accepted++
		dispatcher, err := dispatch.New(config.Settings, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatalf("the decision module rejects the settings of an accepted file: %v", err)
		}
		s := &simulation{T: t, platform: platform, table: config.Routes, dispatcher: dispatcher, now: dispatch.Second}
		s.listWorkers()
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			s.advance()
			if rapid.IntRange(0, 2).Draw(t, "what") == 0 {
				s.arrive()
			} else {
				s.endAttempts()
			}
		}
	})
	if accepted < 5 {
		t.Errorf("only %d random files were accepted, want at least 5: too few to show anything", accepted)
	}
}
