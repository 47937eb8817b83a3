package discovery

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/memory"
)

// Limits of a response.
const (
	readBufferBytes = 64 << 10
	maxListBytes    = 8 << 20 // maximum length of one list

	// Memory for each byte of a list: twice for the decoder's buffer, which grows by doubling, and once each for the list as received and
	// for its entries. The buffer is kept for the next list.
	memoryPerListByte = 4
	bufferPerListByte = 2
)

var (
	// errNoResponse ends a request that was sent and for which no valid response head was received in time.
	errNoResponse = errors.New("no response from discovery")
	// errListTooLong ends a request with a list of more than maxListBytes.
	errListTooLong = errors.New("list exceeds 8 MiB")
	// errNoListMemory ends a request with a list that exceeds the memory for lists.
	errNoListMemory = errors.New("list exceeds the memory for lists: limits.memory_mb is too low")
)

// busyError ends a request that discovery was too busy to serve.
type busyError struct {
	status     int
	retryAfter time.Duration // from the response; 0: none
}

func (e busyError) Error() string { return "discovery is busy: status " + strconv.Itoa(e.status) }

// parseRetryAfter returns the value of Retry-After, in integer or decimal seconds, at most one hour; 0 if it is missing or malformed.
func parseRetryAfter(header http.Header) time.Duration {
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil || !(seconds > 0) {
		return 0
	}
	return time.Duration(min(seconds, time.Hour.Seconds()) * float64(time.Second))
}

// readLists sends one request and calls handle for each list of the response, until one cannot be read or handle returns an error. A watch
// ends when no line has arrived for watchIdleTimeout; a complete list has to arrive within the sum of requestTimeout and listTimeout. The
// error is never nil: it wraps io.EOF if the response ended properly, busyError if discovery is busy, and errNoResponse if no valid response
// head arrived.
func (w *watch) readLists(ctx context.Context, target string, handle func(engine.EndpointList) error) error {
	requestDeadline := time.Now().Add(w.requestTimeout)
	conn, err := dial(ctx, w.address, requestDeadline)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, conn.interrupt)()
	response, err := w.sendRequest(conn, target, requestDeadline) //nolint:bodyclose // closing it would read what is left of a watch
	if err != nil {
		return err
	}
	onLine := func() error { return conn.extend(time.Now().Add(w.watchIdleTimeout)) }
	if target == snapshotTarget { // lines of a list that never becomes complete must not extend its deadline
		onLine = func() error { return conn.extend(requestDeadline.Add(w.listTimeout)) }
	}
	if err := onLine(); err != nil {
		return err
	}
	body := &listReader{source: response.Body, onLine: onLine, memory: w.watcher.memory}
	defer body.release()
	return w.decodeLists(body, handle)
}

// sendRequest sends a request and reads the head of the response. The response's body must not be closed, since that would read the rest
// of a watch; it ends with the connection.
func (w *watch) sendRequest(conn *requestConn, target string, deadline time.Time) (*http.Response, error) {
	if err := conn.extend(deadline); err != nil {
		return nil, err
	}
	request := "GET " + target + " HTTP/1.1\r\nHost: " + w.address + "\r\nAccept: application/json\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return nil, fmt.Errorf("sending request to discovery: %w", err)
	}
	input := &headInput{Reader: conn, head: memory.HeadReservation{Budget: w.watcher.memory}}
	response, err := http.ReadResponse(bufio.NewReaderSize(input, readBufferBytes), nil)
	input.endHead()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNoResponse, err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return response, nil
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.watcher.Engine.Counters.DiscoveryRejections.Add(1)
		return nil, busyError{response.StatusCode, parseRetryAfter(response.Header)}
	default:
		return nil, fmt.Errorf("unexpected status %d from discovery: must be 200", response.StatusCode)
	}
}

// decodeLists calls handle for each list of a response. Malformed lists and entries are counted.
func (w *watch) decodeLists(body *listReader, handle func(engine.EndpointList) error) error {
	malformedUpdates := &w.watcher.Engine.Counters.MalformedUpdates
	decoder := json.NewDecoder(body) // a list may span several lines
	for {
		body.startList()
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			var syntaxErr *json.SyntaxError
			if errors.As(err, &syntaxErr) {
				malformedUpdates.Add(1)
			}
			return fmt.Errorf("reading endpoint list: %w", err)
		}
		list, malformed, err := DecodeList(raw)
		malformedUpdates.Add(int64(malformed))
		if err != nil {
			malformedUpdates.Add(1)
			return err
		}
		if err := handle(list); err != nil {
			return err
		}
	}
}

// requestConn is the connection of one request.
type requestConn struct {
	net.Conn
	ctx context.Context // of the request
}

// dial connects to an address before a deadline.
func dial(ctx context.Context, address string, deadline time.Time) (*requestConn, error) {
	dialer := net.Dialer{Deadline: deadline, KeepAlive: -1}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connecting to discovery: %w", err)
	}
	return &requestConn{conn, ctx}, nil
}

// extend sets the deadline of reads and writes. It fails if the request's context has ended, since it may then have replaced the deadline
// that interrupt set.
func (c *requestConn) extend(deadline time.Time) error {
	return errors.Join(c.SetDeadline(deadline), c.ctx.Err())
}

// interrupt makes pending and later reads and writes fail.
func (c *requestConn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// headInput reads a response and reserves memory for its head.
type headInput struct {
	io.Reader
	head    memory.HeadReservation
	headEnd bool
}

// Read implements io.Reader.
func (i *headInput) Read(p []byte) (int, error) {
	n, err := i.Reader.Read(p)
	if i.headEnd {
		return n, err
	}
	if rejected := i.head.Add(p[:n]); rejected != nil {
		return 0, rejected
	}
	return n, err
}

// endHead releases the memory of the head, of which only single values are used from then on.
func (i *headInput) endHead() {
	i.headEnd = true
	i.head.Release()
}

// listReader reads the body of a response. Only the end of a line, which may be empty, shows that discovery is alive; other bytes do not.
type listReader struct {
	source    io.Reader
	bytesLeft int          // number of bytes that may still be read of the list
	onLine    func() error // called after a read that contains the end of a line

	memory   *memory.Budget // nil: no limit
	reserved int64          // bytes reserved from memory
	listSize int64          // bytes of the current list
	maxSize  int64          // of the largest list so far
}

// startList prepares for the next list. It releases the memory of the last one, except for the decoder's buffer.
func (r *listReader) startList() {
	r.bytesLeft = maxListBytes
	r.maxSize = max(r.maxSize, r.listSize)
	r.listSize = 0
	r.shrink(r.maxSize * bufferPerListByte)
}

// reserve reserves the memory for n further bytes of the current list.
func (r *listReader) reserve(n int) error {
	r.listSize += int64(n)
	missing := r.listSize*memoryPerListByte - r.reserved
	if r.memory == nil || missing <= 0 {
		return nil
	}
	if !r.memory.Reserve(missing) {
		return errNoListMemory
	}
	r.reserved += missing
	return nil
}

// shrink releases all but n bytes of the memory.
func (r *listReader) shrink(n int64) {
	if r.memory != nil && r.reserved > n {
		r.memory.Release(r.reserved - n)
		r.reserved = n
	}
}

// release releases all memory.
func (r *listReader) release() { r.shrink(0) }

func (r *listReader) Read(p []byte) (int, error) {
	if r.bytesLeft <= 0 {
		return 0, errListTooLong
	}
	n, err := r.source.Read(p[:min(len(p), r.bytesLeft)])
	r.bytesLeft -= n
	if memoryErr := r.reserve(n); memoryErr != nil {
		return 0, memoryErr
	}
	if bytes.IndexByte(p[:n], '\n') >= 0 {
		if deadlineErr := r.onLine(); deadlineErr != nil {
			return 0, deadlineErr
		}
	}
	return n, err
}
