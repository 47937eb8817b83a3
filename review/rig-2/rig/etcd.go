package rig

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"sort"
	"sync"
)

// Etcd is a stand-in for an etcd of one member: the calls Range and Watch of its API, with one key for each runner. It can be down for a
// while, as a process that has ended and is started again with its data.
type Etcd struct {
	record  *Record
	address string

	mu       sync.Mutex
	server   *http.Server
	revision int64
	values   map[string]etcdValue
	wake     chan struct{}
}

type etcdValue struct {
	value             []byte
	created, modified int64
	version           int64
}

// NewEtcd starts an etcd without keys.
func NewEtcd(record *Record) (*Etcd, error) {
	address, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	e := &Etcd{record: record, address: address, revision: 1, values: map[string]etcdValue{}, wake: make(chan struct{})}
	return e, e.Up()
}

// Address is where etcd listens.
func (e *Etcd) Address() string { return e.address }

// Up starts to listen.
func (e *Etcd) Up() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server = &http.Server{Handler: e, Protocols: &protocols}
	go e.server.Serve(listener)
	e.record.Say("etcd is up")
	return nil
}

// Down ends all connections; new ones are refused.
func (e *Etcd) Down() {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	server.Close()
	e.record.Say("etcd is down")
}

// Put writes a key.
func (e *Etcd) Put(key, value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	old, exists := e.values[key]
	if !exists {
		old.created = e.revision
	}
	e.values[key] = etcdValue{[]byte(value), old.created, e.revision, old.version + 1}
	close(e.wake)
	e.wake = make(chan struct{})
	e.record.Say("etcd: revision %d: %s = %s", e.revision, key, value)
}

// The parts of protocol buffers' encoding that the calls need.

func varint(b []byte, field int, v int64) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(b, uint64(field)<<3), uint64(v))
}

func text(b []byte, field int, v []byte) []byte {
	b = binary.AppendUvarint(b, uint64(field)<<3|2)
	return append(binary.AppendUvarint(b, uint64(len(v))), v...)
}

// parse calls f for each field of a message.
func parse(b []byte, f func(field int, number uint64, data []byte)) error {
	for len(b) > 0 {
		tag, n := binary.Uvarint(b)
		if n <= 0 {
			return errors.New("malformed tag")
		}
		b = b[n:]
		v, n := binary.Uvarint(b)
		if n <= 0 {
			return errors.New("malformed value")
		}
		b = b[n:]
		switch tag & 7 {
		case 0:
			f(int(tag>>3), v, nil)
		case 2:
			if uint64(len(b)) < v {
				return errors.New("short value")
			}
			f(int(tag>>3), 0, b[:v])
			b = b[v:]
		default:
			return errors.New("unexpected type")
		}
	}
	return nil
}

func (v etcdValue) encode(key string) []byte {
	b := text(nil, 1, []byte(key))
	b = varint(b, 2, v.created)
	b = varint(b, 3, v.modified)
	b = varint(b, 4, v.version)
	return text(b, 5, v.value)
}

func header(revision int64) []byte { return varint(varint(varint(nil, 1, 1), 2, 1), 3, revision) }

// between returns the keys of a range that changed at a revision or later, in the order of their changes. The caller holds the lock.
func (e *Etcd) between(key, end string, revision int64) []string {
	var keys []string
	for k, v := range e.values {
		if k >= key && (k < end || k == key) && v.modified >= revision {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(i, j int) bool { return e.values[keys[i]].modified < e.values[keys[j]].modified })
	return keys
}

// readMessage reads one message of a call.
func readMessage(r io.Reader) ([]byte, error) {
	var prefix [5]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	message := make([]byte, binary.BigEndian.Uint32(prefix[1:]))
	_, err := io.ReadFull(r, message)
	return message, err
}

// writeMessage writes one message of an answer.
func writeMessage(w http.ResponseWriter, message []byte) error {
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(message)))
	if _, err := w.Write(append(prefix, message...)); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

// ServeHTTP serves one call.
func (e *Etcd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/grpc")
	switch r.URL.Path {
	case "/etcdserverpb.KV/Range":
		w.Header().Set("Trailer", "Grpc-Status")
		message, err := readMessage(r.Body)
		if err != nil {
			return
		}
		var key, end string
		parse(message, func(field int, _ uint64, data []byte) {
			switch field {
			case 1:
				key = string(data)
			case 2:
				end = string(data)
			}
		})
		e.mu.Lock()
		answer := text(nil, 1, header(e.revision))
		keys := e.between(key, end, 0)
		for _, k := range keys {
			answer = text(answer, 2, e.values[k].encode(k))
		}
		answer = varint(answer, 4, int64(len(keys)))
		e.record.Say("etcd: the range is read at revision %d", e.revision)
		e.mu.Unlock()
		writeMessage(w, answer)
		w.Header().Set("Grpc-Status", "0")
	case "/etcdserverpb.Watch/Watch":
		e.watch(w, r)
	default:
		e.record.Say("etcd: unknown call %s", r.URL.Path)
		w.Header().Set("Grpc-Status", "12")
	}
}

// watch serves a stream with one watch.
func (e *Etcd) watch(w http.ResponseWriter, r *http.Request) {
	requests := make(chan []byte)
	go func() {
		defer close(requests)
		for {
			message, err := readMessage(r.Body)
			if err != nil {
				return
			}
			select {
			case requests <- message:
			case <-r.Context().Done():
				return
			}
		}
	}()
	http.NewResponseController(w).Flush()
	var key, end string
	next := int64(-1) // the first revision that has not been sent
	for {
		e.mu.Lock()
		wake, revision := e.wake, e.revision
		var answer []byte
		if next >= 0 {
			if keys := e.between(key, end, next); len(keys) > 0 {
				answer = varint(text(nil, 1, header(revision)), 2, 0)
				for _, k := range keys {
					answer = text(answer, 11, text(nil, 2, e.values[k].encode(k)))
				}
			}
			next = max(next, revision+1)
		}
		e.mu.Unlock()
		if answer != nil && writeMessage(w, answer) != nil {
			return
		}
		select {
		case message, ok := <-requests:
			if !ok {
				return
			}
			parse(message, func(field int, _ uint64, data []byte) {
				switch field {
				case 1: // create
					start := int64(0)
					parse(data, func(field int, number uint64, data []byte) {
						switch field {
						case 1:
							key = string(data)
						case 2:
							end = string(data)
						case 3:
							start = int64(number)
						}
					})
					if start == 0 {
						start = revision + 1
					}
					next = start
					e.record.Say("etcd: watch from revision %d", start)
					writeMessage(w, varint(varint(text(nil, 1, header(revision)), 2, 0), 3, 1))
				case 3: // progress, of all watches of the stream
					writeMessage(w, varint(text(nil, 1, header(revision)), 2, -1))
				}
			})
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}
