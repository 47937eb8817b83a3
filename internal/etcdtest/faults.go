package etcdtest

import (
	"context"
	"maps"

	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
)

// intercept delays or rejects calls, according to SetHanging and SetNoLeader.
func (s *Server) intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := s.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

// awaitAvailable waits while the server hangs, and returns an error while it has no leader.
func (s *Server) awaitAvailable(ctx context.Context) error {
	s.mu.Lock()
	hung, noLeader := s.hung, s.noLeader
	s.mu.Unlock()
	if noLeader {
		return rpctypes.ErrGRPCNoLeader
	}
	if hung != nil {
		select {
		case <-hung:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// SetHanging makes all calls hang until it is called with false.
func (s *Server) SetHanging(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case on && s.hung == nil:
		s.hung = make(chan struct{})
	case !on && s.hung != nil:
		close(s.hung)
		s.hung = nil
	}
}

// SetNoLeader makes the server reject calls like a member without a leader, and ends all watches. With false it accepts calls again.
func (s *Server) SetNoLeader(on bool) {
	s.mu.Lock()
	s.noLeader = on
	s.mu.Unlock()
	if on {
		s.DropWatches()
	}
}

// DropWatches ends all open watch streams.
func (s *Server) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// CompactNow compacts the history up to the newest revision.
func (s *Server) CompactNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactTo(s.revision)
}

// Snapshot is a copy of a server's content, for Restore.
type Snapshot struct {
	revision  int64
	keyValues map[string]*mvccpb.KeyValue
}

// Snapshot returns a copy of the server's content.
func (s *Server) Snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Snapshot{revision: s.revision, keyValues: maps.Clone(s.keyValues)}
}

// Restore restores an older copy, so that revisions go backwards, and ends all watches.
func (s *Server) Restore(c Snapshot) {
	s.mu.Lock()
	s.revision = c.revision
	s.compactedRevision = c.revision
	s.history = nil
	s.keyValues = maps.Clone(c.keyValues)
	s.mu.Unlock()
	s.DropWatches()
}

// OpenWatches returns the number of open watch streams.
func (s *Server) OpenWatches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.openWatches
}
