package rig

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"
)

// Client sends jobs to one dispatcher. It keeps connections and opens more when all are busy.
type Client struct {
	record    *Record
	address   string
	transport *http.Transport
}

// NewClient returns a client of the dispatcher at an address.
func NewClient(record *Record, address string) *Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &Client{record: record, address: address, transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 200, DisableCompression: true,
	}}
}

// Answer is what a client gets for a request.
type Answer struct {
	Status int // 0: no whole answer
	Body   string
	Took   time.Duration
	Err    error
}

// Do sends a job and waits for its answer.
func (c *Client) Do(id, class string, deadline time.Duration) Answer {
	began := time.Now()
	a, reused := c.try(id, class, deadline)
	if a.Err != nil && reused && !errors.Is(a.Err, context.DeadlineExceeded) {
		// The dispatcher has closed a resting connection: the request is sent once more, on a new connection.
		c.record.Printf("client: %s met a closed connection and is sent once more", id)
		c.transport.CloseIdleConnections()
		a, _ = c.try(id, class, deadline)
	}
	a.Took = time.Since(began)
	c.record.Printf("client: %s %s answered %d after %d ms %v", id, class, a.Status, a.Took.Milliseconds(), errText(a.Err))
	return a
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

func (c *Client) try(id, class string, deadline time.Duration) (a Answer, reused bool) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline+600*time.Millisecond)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
	body := []byte("job " + id)
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/"+class, io.NopCloser(bytes.NewReader(body)))
	request.ContentLength = int64(len(body))
	request.Host = "app.svc"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Class", class)
	request.Header.Set("X-Tenant", "linee-urbane")
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.record.Printf("client: %s %s sent, %d ms", id, class, deadline.Milliseconds())
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		return Answer{Err: err}, reused
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{Err: err}, reused
	}
	return Answer{Status: response.StatusCode, Body: string(text)}, reused
}
