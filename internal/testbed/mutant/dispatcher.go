package mutant

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Time-outs and limits of the dispatcher.
const (
	drainTime       = 400 * time.Millisecond // after SIGTERM, during which clients are still accepted
	shutdownTimeout = 2 * time.Second
	deadlineMargin  = 30 * time.Millisecond // between the end of a request's attempts and its deadline
	maxAttempts     = 3
	maxIdleConns    = 64 // per worker
)

// Parameters of the faults.
const (
	crashAtRequest    = 40
	crashStatus       = 3
	faultyPeriod      = 7                      // one in this many requests is faulty
	lateBy            = 280 * time.Millisecond // after the end of the attempts
	silentPast        = time.Second            // the connection is closed this long after the deadline
	sendAfterDelay    = 400 * time.Millisecond // between the answer and the send
	secondAnswerTime  = 100 * time.Millisecond // during which the client can read a second answer
	faultyMaxAttempts = 20                     // with ManyAttempts
)

// config is the part of the platform's configuration that the dispatcher reads.
type config struct {
	Listen    string       `json:"listen"`
	Discovery string       `json:"discovery"`
	Known     endpointList `json:"known"`
	Settings  struct {
		Classes []struct {
			Name   string `json:"name"`
			Effect string `json:"effect"`
		} `json:"classes"`
	} `json:"settings"`
}

// effectFree is the effect of an idempotent class in the platform's configuration.
const effectFree = "free"

func readConfig(path string) (c config, err error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("reading the configuration: %w", err)
	}
	if err := json.Unmarshal(raw, &c); err != nil {
		return c, fmt.Errorf("parsing the configuration: %w", err)
	}
	return c, nil
}

// dispatcher is an HTTP handler that forwards requests to workers, with a fault.
type dispatcher struct {
	fault     string
	isUnsafe  map[string]bool // by class: requests must not be repeated
	client    *http.Client
	requests  atomic.Int64 // received so far
	endpoints *endpoints
}

// Run serves with a fault until SIGTERM; path is the path of the platform's configuration. It returns an error if the fault is unknown,
// the configuration cannot be read or the listener fails.
func Run(path, fault string) error {
	if _, err := Find(fault); err != nil {
		return err
	}
	c, err := readConfig(path)
	if err != nil {
		return err
	}
	d := &dispatcher{
		fault: fault, isUnsafe: map[string]bool{}, endpoints: newEndpoints(fault),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}},
	}
	for _, class := range c.Settings.Classes {
		d.isUnsafe[class.Name] = class.Effect != effectFree
	}
	d.endpoints.update(c.Known)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	go d.endpoints.follow(c.Discovery)
	return d.listenAndServe(c.Listen, signals)
}

// listenAndServe serves until SIGTERM, or forever with the fault IgnoresSIGTERM.
func (d *dispatcher) listenAndServe(address string, signals <-chan os.Signal) error {
	server := &http.Server{Addr: address, Handler: d}
	served := make(chan error, 1)
	go func() { served <- server.ListenAndServe() }()
	for {
		select {
		case err := <-served:
			return err
		case <-signals:
			if d.fault == IgnoresSIGTERM {
				continue
			}
			time.Sleep(drainTime)
			ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
			defer cancel()
			_ = server.Shutdown(ctx) // connections that are still open after the timeout end with the process
			return nil
		}
	}
}

// isFaulty reports whether the dispatcher has the given fault and the fault affects the latest request.
func (d *dispatcher) isFaulty(fault string) bool {
	return d.fault == fault && d.requests.Load()%faultyPeriod == 3
}

// ServeHTTP answers a client's request. Faults of single requests take effect before or after the request is forwarded.
func (d *dispatcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/up" {
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n := d.requests.Add(1)
	if d.fault == Crash && n == crashAtRequest {
		os.Exit(crashStatus)
	}
	left, _ := time.ParseDuration(r.Header.Get("X-Deadline-Ms") + "ms")
	end := time.Now().Add(left - deadlineMargin)
	detached := context.WithoutCancel(r.Context()) // attempts continue after the client disconnects
	switch {
	case d.isFaulty(MadeUpAnswers):
		_, _ = w.Write([]byte("all is well")) // fails if the client has disconnected
		return
	case d.isFaulty(SendsAfterAnswer):
		go func() {
			time.Sleep(sendAfterDelay)
			_, _, _ = d.forward(detached, r, body) // the send itself is the fault; the result is ignored
		}()
		w.WriteHeader(http.StatusInternalServerError)
		return
	case d.isFaulty(SilentRequests):
		time.Sleep(left + silentPast)
		panic(http.ErrAbortHandler)
	case d.isFaulty(ChangedBodies):
		body = body[:len(body)/2]
	}
	ctx, cancel := context.WithDeadline(detached, end)
	defer cancel()
	status, result := d.dispatch(ctx, r, body)
	d.answer(w, status, result, end)
}

// answer answers a request; end is the time by which its attempts had to end.
func (d *dispatcher) answer(w http.ResponseWriter, status int, result []byte, end time.Time) {
	switch {
	case d.isFaulty(LateAnswers):
		time.Sleep(time.Until(end.Add(lateBy)))
	case d.isFaulty(LostRequests):
		panic(http.ErrAbortHandler)
	case d.isFaulty(AnswersTwice):
		answerTwice(w, status, result)
		return
	}
	w.WriteHeader(status)
	_, _ = w.Write(result) // fails if the client has disconnected
}

// answerTwice writes the answer twice to the client's connection and closes it.
func answerTwice(w http.ResponseWriter, status int, result []byte) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	answer := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(result), result)
	io.WriteString(conn, answer+answer)
	time.Sleep(secondAnswerTime)
}

// dispatch forwards a request to workers, with retries after failures if the class allows them, and returns the answer.
func (d *dispatcher) dispatch(ctx context.Context, r *http.Request, body []byte) (status int, result []byte) {
	isUnsafe := d.isUnsafe[r.Header.Get("X-Class")]
	attempts := maxAttempts
	if d.fault == ManyAttempts {
		attempts = faultyMaxAttempts
	}
	mayHaveRun := false
	for range attempts {
		result, ran, err := d.forward(ctx, r, body)
		if err == nil && (d.fault != ManyAttempts || isUnsafe) {
			return http.StatusOK, result
		}
		mayHaveRun = mayHaveRun || ran
		mustNotRetry := ran && isUnsafe && d.fault != UnsafeRetry
		if ctx.Err() != nil || mustNotRetry {
			break
		}
	}
	if mayHaveRun && isUnsafe && d.fault != RefusesWhatRan {
		return http.StatusInternalServerError, nil
	}
	return http.StatusServiceUnavailable, nil
}

var errFailed = errors.New("the worker failed")

// forward sends a request to a worker. mayHaveRun reports whether the request may have run there.
func (d *dispatcher) forward(ctx context.Context, r *http.Request, body []byte) (result []byte, mayHaveRun bool, err error) {
	address, ok := d.endpoints.choose()
	if !ok {
		return nil, false, errFailed
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+r.RequestURI, bytes.NewReader(body))
	if err != nil {
		return nil, false, err
	}
	req.GetBody = nil // prevents net/http from retrying the request by itself
	req.Header.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	req.Header.Set("X-Deadline-Ms", r.Header.Get("X-Deadline-Ms"))
	res, err := d.client.Do(req)
	if err != nil {
		return nil, !strings.Contains(err.Error(), "connection refused"), err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return nil, res.Header.Get("X-Not-Run") != "1", errFailed
	}
	return readResult(res.Body)
}

// readResult reads the lines of a worker's response up to the one that ends the request.
func readResult(body io.Reader) (result []byte, mayHaveRun bool, err error) {
	for lines := bufio.NewScanner(body); lines.Scan(); {
		var line struct{ State, Result string }
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			break
		}
		switch line.State {
		case "done":
			return []byte(line.Result), true, nil
		case "returned":
			return nil, false, errFailed
		case "failed", "lost":
			return nil, true, errFailed
		}
	}
	return nil, true, errFailed
}
