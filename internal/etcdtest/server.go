// Package etcdtest provides a small in-memory etcd server for tests and the testbed. It implements the part of etcd's gRPC API that a list
// of workers needs: keys and values with revisions and history, watches, leases, transactions and compaction. Faults can be injected. It
// listens on a loopback address and stores nothing on disk.
package etcdtest

import (
	"fmt"
	"net"
	"sync"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc"
)

// Server is one etcd test server. It is safe for concurrent use.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer

	listener net.Listener
	grpc     *grpc.Server

	mu                sync.Mutex // guards the fields below
	revision          int64
	compactedRevision int64 // the history up to this revision has been removed
	keyValues         map[string]*mvccpb.KeyValue
	history           []*mvccpb.Event // by revision
	leases            map[int64]*lease
	changed           chan struct{} // closed at each change, and replaced by a new one
	dropped           chan struct{} // closed when all watches are dropped, and replaced by a new one
	hung              chan struct{} // if not nil, no call returns until it is closed
	noLeader          bool
	openWatches       int // number of open streams
}

// Start starts a server on a free loopback address. Close stops it.
func Start() (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("etcd test server: listening: %w", err)
	}
	s := &Server{
		listener:  l,
		revision:  1,
		keyValues: map[string]*mvccpb.KeyValue{},
		leases:    map[int64]*lease{},
		changed:   make(chan struct{}),
		dropped:   make(chan struct{}),
	}
	s.grpc = grpc.NewServer(grpc.UnaryInterceptor(s.intercept))
	pb.RegisterKVServer(s.grpc, s)
	pb.RegisterWatchServer(s.grpc, s)
	pb.RegisterLeaseServer(s.grpc, s)
	go func() { _ = s.grpc.Serve(l) }() // ends with Close
	return s, nil
}

// Address returns the server's address, host:port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server immediately.
func (s *Server) Close() {
	s.mu.Lock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	if s.hung != nil {
		close(s.hung)
		s.hung = nil
	}
	s.mu.Unlock()
	s.grpc.Stop()
}
