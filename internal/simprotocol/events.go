package simprotocol

import (
	"bytes"
	"errors"
	"fmt"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

const (
	// maxAttemptNumber is the maximum attempt number in a message.
	maxAttemptNumber = 1 << 20

	// maxSlots is the maximum number of slots that a request may need.
	maxSlots = 1 << 20

	// notReported marks a value that a load report does not contain.
	notReported = -1
)

// The values of "what" in a CHANGE line.
const (
	changeStarted    = 1
	changeProgressed = 2
)

// parseEvent parses a line into r.event. It returns false for an event that the decision module does not handle.
func (r *Reader) parseEvent(name []byte, fields *fieldReader, names *settings.NameTable) (bool, error) {
	r.event = dispatch.Event{Tenant: -1, Workers: r.workers[:0]}
	switch string(name) {
	case lineRequest:
		return true, r.parseRequest(fields, names)
	case lineAttemptEnded:
		return r.parseAttemptEnded(fields, names)
	case lineAttemptChange:
		return r.parseAttemptChange(fields, names)
	case lineResponse:
		return r.parseResponse(fields, names)
	case lineClientDisconnected:
		return r.parseClientDisconnected(fields, names)
	case lineTimer:
		r.event.Kind = dispatch.TimerFired
		fields.text("handle")
		return true, fields.finish()
	case lineProbeDone:
		return false, r.parseProbeDone(fields)
	case lineEndpoints:
		return true, r.parseEndpoints(fields, names)
	case linePeerMessage:
		return r.parsePeerMessage(fields)
	}
	return false, errors.New("unknown message")
}

func (r *Reader) parseRequest(fields *fieldReader, names *settings.NameTable) error {
	event := &r.event
	event.Kind = dispatch.RequestArrived
	name := fields.text("tid")
	event.Retry = fields.boolean("resent")
	tenant := fields.next("billing")
	class := fields.text("kind")
	event.ExpectedWork = fields.duration("work")
	event.TimeLeft = fields.duration("left")
	event.AffinityKey = parseAffinityKey(fields)
	fields.boolean("write")
	fields.boolean("returned")
	event.Memory = fields.number("mem_needed")
	event.Slots = max(1, int(fields.integer("needs", 0, maxSlots, 1)))
	if err := fields.finish(); err != nil {
		return err
	}
	var err error
	if event.Class, err = names.ClassID(class); err != nil {
		return err
	}
	hasTenant := string(tenant) != "0" && !settings.IsAbsent(tenant)
	if hasTenant && names.HasTenants() {
		if event.Tenant, err = names.TenantID(tenant); err != nil {
			return err
		}
	}
	event.Request, err = names.OpenRequest(name)
	return err
}

// parseAffinityKey returns the affinity key of a request: the protocol's key plus 1, since the protocol's keys begin
// at 0. It returns 0 if the request has no key.
func parseAffinityKey(fields *fieldReader) uint64 {
	key, ok := settings.ParseInt(fields.next("target_key"))
	if !ok || key < 0 {
		return 0
	}
	return uint64(key) + 1
}

func (r *Reader) parseAttemptEnded(fields *fieldReader, names *settings.NameTable) (bool, error) {
	event := &r.event
	event.Kind = dispatch.AttemptEnded
	known := r.parseRequestID(fields, names)
	r.parseAttempt(fields)
	r.parseWorker(fields, names)
	event.Result = parseResult(fields)
	event.Elapsed = fields.duration("spent")
	event.Final = fields.boolean("closed")
	fields.next("remark")
	r.parseLoadReport(fields)
	err := fields.finish()
	if err == nil && known {
		names.AttemptEnded(event.Request, event.Final)
	}
	return known, err
}

func (r *Reader) parseAttemptChange(fields *fieldReader, names *settings.NameTable) (bool, error) {
	known := r.parseRequestID(fields, names)
	change := fields.integer("what", 0, maxID, 0)
	r.parseWorker(fields, names)
	r.parseAttempt(fields)
	r.event.Progress = fields.number("level")
	switch change {
	case changeStarted:
		r.event.Kind = dispatch.AttemptStarted
	case changeProgressed:
		r.event.Kind = dispatch.AttemptProgressed
	default:
		known = false
	}
	return known, fields.finish()
}

func (r *Reader) parseResponse(fields *fieldReader, names *settings.NameTable) (bool, error) {
	r.event.Kind = dispatch.ResponseStarted
	known := r.parseRequestID(fields, names)
	r.parseAttempt(fields)
	r.event.Elapsed = fields.duration("spent")
	r.parseWorker(fields, names)
	return known, fields.finish()
}

func (r *Reader) parseClientDisconnected(fields *fieldReader, names *settings.NameTable) (bool, error) {
	r.event.Kind = dispatch.RequestAbandoned
	known := r.parseRequestID(fields, names)
	err := fields.finish()
	if err == nil && known {
		names.RequestAnswered(r.event.Request)
	}
	return known, err
}

// parseProbeDone validates the result of a health check and discards it: the decision module requests no health checks.
func (r *Reader) parseProbeDone(fields *fieldReader) error {
	fields.duration("spent")
	parseResult(fields)
	fields.text("runner")
	r.parseLoadReport(fields)
	return fields.finish()
}

func (r *Reader) parsePeerMessage(fields *fieldReader) (bool, error) {
	r.event.Kind = dispatch.PeerMessageReceived
	r.event.Peer = int(fields.integer("src_peer", 0, maxID, -1))
	encoded := fields.next("raw")
	if err := fields.finish(); err != nil {
		return false, err
	}
	message, known := decodePeerMessage(encoded)
	r.event.Message = message
	return known, nil
}

// parseRequestID parses the name of a request and reports whether the request is open.
func (r *Reader) parseRequestID(fields *fieldReader, names *settings.NameTable) bool {
	id, ok := names.FindRequest(fields.text("tid"))
	r.event.Request = id
	return ok
}

func (r *Reader) parseAttempt(fields *fieldReader) {
	r.event.Attempt = int(fields.integer("try", 0, maxAttemptNumber, -1))
}

func (r *Reader) parseWorker(fields *fieldReader, names *settings.NameTable) {
	r.event.Worker = names.InternWorkerBytes(fields.text("runner"))
}

// parseResult parses the result of an attempt. The protocol and the decision module use the same result codes.
func parseResult(fields *fieldReader) dispatch.Result {
	code := fields.integer("state_code", 0, maxID, -1)
	return dispatch.Result(min(code, int64(dispatch.ResultUnknown)))
}

// parseLoadReport parses a worker's load report: comma-separated name:value pairs. It skips unknown names.
func (r *Reader) parseLoadReport(fields *fieldReader) {
	report := &r.event.Report
	*report = dispatch.LoadReport{FreeSlots: notReported, QueueLength: notReported}
	rest := fields.next("server_stats")
	if fields.err != nil || settings.IsAbsent(rest) {
		return
	}
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{':'})
		number, valid := settings.ParseDecimal(value)
		if !found || !valid {
			fields.fail(fmt.Errorf("server_stats: invalid pair %q: must be name:value", pair))
			return
		}
		report.Known = true
		switch string(name) {
		case r.freeSlotsNames[r.instance]:
			report.FreeSlots = max(number, 0)
		case "pending":
			report.QueueLength = max(number, 0)
		}
	}
}
