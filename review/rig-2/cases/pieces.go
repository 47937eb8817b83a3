package main

import (
	"sync"
	"time"

	"birchfork-review/rig-2/rig"
)

// piecesClients are usual clients that keep their connections and write slowly: each request on a kept connection comes in two pieces.
type piecesClients struct {
	run     *run
	address string
	end     time.Time
	between time.Duration // of the two pieces
	group   sync.WaitGroup

	mu                         sync.Mutex
	answered, unread, notWhole int
}

// clientsInPieces starts clients that send requests for a time.
func (r *run) clientsInPieces(address string, n int, length, between time.Duration) *piecesClients {
	c := &piecesClients{run: r, address: address, end: time.Now().Add(length), between: between}
	for i := range n {
		c.group.Go(func() { c.client(i) })
	}
	return c
}

// wait returns when all clients have ended.
func (c *piecesClients) wait() {
	c.group.Wait()
	c.run.Say("%d requests answered, %d on new connections without an answer, %d not written whole", c.answered, c.unread, c.notWhole)
}

func (c *piecesClients) client(i int) {
	var conn *rig.Conn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for n := i; time.Now().Before(c.end); n++ {
		fresh := conn == nil
		if fresh {
			var err error
			if conn, err = rig.Dial(c.address); err != nil {
				conn = nil
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		if !c.send(conn, i, n, fresh) {
			conn.Close()
			conn = nil
		}
	}
}

// send sends one request and waits for its answer. It reports whether the connection goes on.
func (c *piecesClients) send(conn *rig.Conn, i, n int, fresh bool) bool {
	class, deadline := "ticket-issue", 5*time.Second
	if n%2 == 1 {
		class, deadline = "journey-search", 10*time.Second
	}
	id := rig.NewID()
	text := rig.Message(id, class, "bus-provincia", deadline, `{"from":"here","to":"there"}`)
	pieces := []string{text}
	if !fresh { // on a connection that has had an answer
		pieces = []string{text[:len(text)/2], text[len(text)/2:]}
	}
	for p, piece := range pieces {
		if p > 0 {
			time.Sleep(c.between)
		}
		if _, err := conn.Write([]byte(piece)); err != nil {
			c.run.Log("client %d: %s: piece %d could not be written: %v", i, id, p, err)
			c.mu.Lock()
			c.notWhole++
			c.mu.Unlock()
			return false
		}
	}
	answer := conn.ReadAnswer(time.Now(), deadline+time.Second)
	c.run.Log("client %d: %s of %s in %d pieces: %v", i, id, class, len(pieces), answer)
	switch {
	case !answer.Lost():
		c.mu.Lock()
		c.answered++
		c.mu.Unlock()
	case fresh: // may have been shut unread
		c.mu.Lock()
		c.unread++
		c.mu.Unlock()
	default:
		c.run.Broken("client %d: %s of %s was written whole, on a connection that had had answers, which then ended: %v", i, id, class, answer)
	}
	return !answer.Lost() && !answer.Last
}
