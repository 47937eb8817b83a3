package rig

import (
	"net"
	"sync"
	"time"
)

// Proxy passes connections on to a target, each byte after a fixed delay, as a way between two locations does.
type Proxy struct {
	lis    net.Listener
	target string
	delay  time.Duration
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

// NewProxy starts a proxy on a free port.
func NewProxy(target string, delay time.Duration) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{lis: lis, target: target, delay: delay, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.lis.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.lis.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		conn.Close()
	}
}

func (p *Proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", p.target)
	if err != nil {
		near.Close()
		return
	}
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go p.pass(near, far, done)
	go p.pass(far, near, done)
	<-done
	near.Close()
	far.Close()
	<-done
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

// piece is what was read at one time.
type piece struct {
	data []byte
	due  time.Time
}

func (p *Proxy) pass(from, to net.Conn, done chan<- struct{}) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(p.delay)}
			}
			if err != nil {
				pieces <- piece{nil, time.Now().Add(p.delay)}
				return
			}
		}
	}()
	ended := false
	for next := range pieces {
		if ended {
			continue
		}
		time.Sleep(time.Until(next.due))
		if next.data == nil {
			ended = true
		} else if _, err := to.Write(next.data); err != nil {
			ended = true
		}
		if ended {
			done <- struct{}{}
		}
	}
}
