package admin

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

// Paths of the calls.
const (
	readyPath     = "/-/ready"
	workersPrefix = "/-/runners/" // a worker's id and a verb follow
	verbDisable   = "disable"
	verbEnable    = "enable"
)

// unknownPathText is the answer to a call of an unknown path.
const unknownPathText = "no such path; there are /-/ready, /-/runners/ID/disable and /-/runners/ID/enable"

// operation is the method that a path requires and the function that carries out its calls.
type operation struct {
	method string
	run    func() (note string, err error)
}

// answer is the answer to a call: a status and one line of text.
type answer struct {
	status int
	text   string
	allow  string // the path's method, if the call has another one
}

// newHandler returns a handler of operators' calls.
func newHandler(service Service) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connFromContext(r.Context()); conn != nil {
			conn.endHead()
			conn.setPending(true)
			defer conn.setPending(false)
		}
		writeAnswer(w, execute(service, r))
	})
}

// writeAnswer writes an answer, with a header that announces the end of the connection.
func writeAnswer(w http.ResponseWriter, a answer) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(a.text)+1))
	header.Set("Connection", "close")
	if a.allow != "" {
		header.Set("Allow", a.allow)
	}
	w.WriteHeader(a.status)
	fmt.Fprintln(w, a.text)
	_ = http.NewResponseController(w).Flush() // before the connection counts as answered; a caller that has disconnected needs no answer
}

// execute carries out a call.
func execute(service Service, r *http.Request) answer {
	op, rejection := route(service, r.URL.EscapedPath())
	if rejection != nil {
		return *rejection
	}
	if r.Method != op.method {
		return answer{status: http.StatusMethodNotAllowed, text: "this path takes " + op.method, allow: op.method}
	}
	note, err := op.run()
	switch {
	case errors.Is(err, ErrUnknownWorker):
		return answer{status: http.StatusNotFound, text: err.Error()}
	case err != nil:
		return answer{status: http.StatusServiceUnavailable, text: err.Error()}
	case note != "":
		return answer{status: http.StatusOK, text: "yes; " + strings.ReplaceAll(note, "\n", " ")}
	default:
		return answer{status: http.StatusOK, text: "yes"}
	}
}

// route returns the operation of an escaped path, or the answer to a path without one.
func route(service Service, path string) (operation, *answer) {
	if path == readyPath {
		ready := func() (string, error) { return "", service.Ready() }
		return operation{method: http.MethodGet, run: ready}, nil
	}
	rest, isWorkers := strings.CutPrefix(path, workersPrefix)
	escapedID, verb, hasVerb := strings.Cut(rest, "/")
	change := service.change(verb)
	if !isWorkers || !hasVerb || change == nil {
		return operation{}, &answer{status: http.StatusNotFound, text: unknownPathText}
	}
	worker, err := url.PathUnescape(escapedID)
	if err != nil || worker == "" {
		return operation{}, &answer{status: http.StatusBadRequest, text: "the runner's id is missing or badly escaped"}
	}
	if len(worker) > maxWorkerIDBytes {
		text := fmt.Sprintf("the runner's id is longer than %d bytes", maxWorkerIDBytes)
		return operation{}, &answer{status: http.StatusBadRequest, text: text}
	}
	return operation{method: http.MethodPost, run: func() (string, error) { return change(worker) }}, nil
}

// change returns the function of a verb; nil if there is none.
func (s Service) change(verb string) func(worker string) (note string, err error) {
	switch verb {
	case verbDisable:
		return s.Disable
	case verbEnable:
		return s.Enable
	default:
		return nil
	}
}
