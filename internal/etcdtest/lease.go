package etcdtest

import (
	"context"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// lease is a lease and the keys attached to it.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// LeaseGrant grants a lease.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.ID
	if id == 0 {
		id = s.revision<<16 + int64(len(s.leases)) + 1
	}
	if s.leases[id] != nil {
		return nil, rpctypes.ErrGRPCDuplicateKey
	}
	l := &lease{ttl: time.Duration(r.TTL) * time.Second, keys: map[string]bool{}}
	l.timer = time.AfterFunc(l.ttl, func() { s.Expire(id) })
	s.leases[id] = l
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}, nil
}

// Expire ends a lease immediately, as if its time to live had passed, and deletes its keys.
func (s *Server) Expire(id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	if len(l.keys) == 0 {
		return
	}
	s.revision++
	for k := range l.keys {
		if s.keyValues[k] != nil {
			s.deleteKey(k)
		}
	}
	s.notify()
}

// LeaseRevoke ends a lease.
func (s *Server) LeaseRevoke(_ context.Context, r *pb.LeaseRevokeRequest) (*pb.LeaseRevokeResponse, error) {
	s.mu.Lock()
	known := s.leases[r.ID] != nil
	s.mu.Unlock()
	if !known {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.Expire(r.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &pb.LeaseRevokeResponse{Header: s.header()}, nil
}

// LeaseKeepAlive renews leases.
func (s *Server) LeaseKeepAlive(stream pb.Lease_LeaseKeepAliveServer) error {
	for {
		r, err := stream.Recv()
		if err != nil {
			return nil
		}
		if err := s.awaitAvailable(stream.Context()); err != nil {
			return err
		}
		s.mu.Lock()
		res := &pb.LeaseKeepAliveResponse{Header: s.header(), ID: r.ID}
		if l := s.leases[r.ID]; l != nil {
			l.timer.Reset(l.ttl)
			res.TTL = int64(l.ttl / time.Second)
		}
		s.mu.Unlock()
		if err := stream.Send(res); err != nil {
			return err
		}
	}
}
