package frontend

import (
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/upstream"
)

// Limits on requests.
const (
	maxHeaderBytes       = 8 << 10
	maxIDLength          = 256
	maxTargetLength      = 4 << 10
	maxHeaderValueLength = 1 << 10
	maxDeadline          = time.Hour
	maxSlots             = 1 << 20 // also the upper bound of memory
)

// forwardedHeaders are the client's headers that are forwarded to workers unchanged, in addition to the id. Idempotency-Key is the standard
// header by which workers drop repeats of requests of a deduplicated class: without it they would run a repeat as a separate request.
var forwardedHeaders = []string{"Content-Type", "Idempotency-Key", "X-Class", "X-Tenant", "X-Key"}

// readRequest reads a complete request and decodes it. The caller must release the outgoing request.
func (h *Handler) readRequest(r *http.Request) (spec engine.RequestSpec, outgoing *outgoingRequest, err error) {
	spec, err = decodeHead(r)
	if err != nil {
		return spec, nil, err
	}
	spec.Method = r.Method
	spec.Path = r.URL.Path
	spec.Key = r.Header.Get("X-Key")
	target, err := targetOf(r)
	if err != nil {
		return spec, nil, err
	}
	headers, err := encodeForwardedHeaders(r.Header)
	if err != nil {
		return spec, nil, err
	}
	conn := connFromContext(r.Context())
	outgoing = &outgoingRequest{
		Request: upstream.Request{Method: r.Method, Target: target, ID: spec.ID, Headers: headers, Client: conn},
		budget:  &h.BodyBudget,
	}
	outgoing.retain()
	if err := outgoing.readBody(r); err != nil {
		outgoing.release()
		return spec, nil, h.bodyError(err)
	}
	if !conn.completeRequest() {
		outgoing.release()
		return spec, nil, &requestError{http.StatusBadRequest, "more came than its length", &h.Engine.Counters.BadFraming}
	}
	return spec, outgoing, nil
}

func (h *Handler) bodyError(err error) error {
	counters := &h.Engine.Counters
	switch {
	case errors.Is(err, errOverLimit):
		return err
	case errors.Is(err, errBodyTooLong):
		return &requestError{http.StatusRequestEntityTooLarge, err.Error(), &counters.BadSizes}
	default:
		return &requestError{http.StatusBadRequest, "the body did not come whole", &counters.BadBodies}
	}
}

// targetOf returns the path and query for the worker, as the client sent them.
func targetOf(r *http.Request) (string, error) {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	if !isPlainText(target, maxTargetLength) {
		return "", errors.New("the path is no plain word of 4096 characters at most")
	}
	return target, nil
}

// encodeForwardedHeaders returns the forwarded headers, each with its line ending.
func encodeForwardedHeaders(header http.Header) ([]byte, error) {
	var encoded []byte
	for _, name := range forwardedHeaders {
		value := header.Get(name)
		if value == "" {
			continue
		}
		if !isPlainText(strings.ReplaceAll(value, " ", "_"), maxHeaderValueLength) {
			return nil, errors.New(name + ": it is no plain text of 1024 characters at most")
		}
		encoded = append(encoded, name...)
		encoded = append(encoded, ": "...)
		encoded = append(encoded, value...)
		encoded = append(encoded, "\r\n"...)
	}
	return encoded, nil
}

// isPlainText reports whether a text can be forwarded in a head: it is printable ASCII without spaces, and not longer than maxLength. A
// worker closes the connection on a head that it cannot parse.
func isPlainText(text string, maxLength int) bool {
	isUnsafe := func(c rune) bool { return c <= ' ' || c > '~' }
	return len(text) <= maxLength && !strings.ContainsFunc(text, isUnsafe)
}

// decodeHead decodes the head of a request.
func decodeHead(r *http.Request) (spec engine.RequestSpec, err error) {
	reader := headerReader{header: r.Header}
	spec.ID = reader.required("X-Request-Id")
	spec.Class = reader.required("X-Class")
	spec.Tenant = reader.optional("X-Tenant")
	deadline := reader.required("X-Deadline-Ms")
	extras := reader.optional("X-Extras")
	spec.Retry = reader.optional("X-Retry") == "1"
	if reader.err != nil {
		return spec, reader.err
	}
	if !isPlainText(spec.ID, maxIDLength) {
		return spec, errors.New("X-Request-Id: it is no plain word of 256 characters at most")
	}
	firstSegment, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	if firstSegment != spec.Class {
		return spec, errors.New("the path does not begin with the class")
	}
	if spec.TimeLeft, err = decodeDeadline(deadline); err != nil {
		return spec, err
	}
	return spec, decodeExtras(&spec, extras)
}

// headerReader reads headers that may have at most one value. It records the first error.
type headerReader struct {
	header http.Header
	err    error
}

func (h *headerReader) optional(name string) string {
	values := h.header.Values(name)
	if len(values) > 1 {
		h.fail(name)
	}
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

func (h *headerReader) required(name string) string {
	value := h.optional(name)
	if value == "" {
		h.fail(name)
	}
	return value
}

func (h *headerReader) fail(name string) {
	if h.err == nil {
		h.err = errors.New(name + ": one value is needed")
	}
}

func decodeDeadline(text string) (time.Duration, error) {
	milliseconds, err := strconv.ParseUint(text, 10, 32)
	if err != nil || milliseconds < 1 || milliseconds > uint64(maxDeadline.Milliseconds()) {
		return 0, errors.New("X-Deadline-Ms: it is not a number of milliseconds from 1 to an hour")
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// decodeExtras decodes the optional numbers of X-Extras, in the form name=value,name=value. Unknown names are ignored.
func decodeExtras(spec *engine.RequestSpec, extras string) error {
	spec.Slots = 1
	if extras == "" {
		return nil
	}
	for pair := range strings.SplitSeq(extras, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(text, 64)
		if !ok || err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
			return errors.New("X-Extras: it is not name=value,name=value")
		}
		switch name {
		case "slots":
			if number < 1 || number > maxSlots || number != math.Trunc(number) {
				return errors.New("X-Extras: slots is not a whole number from 1")
			}
			spec.Slots = int(number)
		case "memory":
			if number < 0 || number > maxSlots {
				return errors.New("X-Extras: memory is out of range")
			}
			spec.Memory = number
		}
	}
	return nil
}
