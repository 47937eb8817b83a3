package etcdtest

import (
	"bytes"
	"context"
	"sort"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
)

// inRange reports whether a key is in the range of a request, from the request's key up to its range end, which is exclusive. An empty end
// means that the range has only one key, and an end of one zero byte that it has no upper bound.
func inRange(key string, from, end []byte) bool {
	switch {
	case len(end) == 0:
		return key == string(from)
	case bytes.Equal(end, []byte{0}):
		return key >= string(from)
	default:
		return key >= string(from) && key < string(end)
	}
}

// Range reads the keys of a range.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision > 0 && r.Revision < s.compactedRevision {
		return nil, rpctypes.ErrGRPCCompacted
	}
	return s.readRange(r), nil
}

// readRange returns the keys of a range and their values, sorted by key. The caller must hold the lock.
func (s *Server) readRange(r *pb.RangeRequest) *pb.RangeResponse {
	res := &pb.RangeResponse{Header: s.header()}
	for k, kv := range s.keyValues {
		if inRange(k, r.Key, r.RangeEnd) {
			res.Kvs = append(res.Kvs, kv)
		}
	}
	sort.Slice(res.Kvs, func(i, j int) bool { return bytes.Compare(res.Kvs[i].Key, res.Kvs[j].Key) < 0 })
	res.Count = int64(len(res.Kvs))
	return res
}

// Put writes a key.
func (s *Server) Put(_ context.Context, r *pb.PutRequest) (*pb.PutResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return nil, rpctypes.ErrGRPCLeaseNotFound
	}
	s.revision++
	s.put(r)
	s.notify()
	return &pb.PutResponse{Header: s.header()}, nil
}

// put writes a key at the current revision. The caller must hold the lock.
func (s *Server) put(r *pb.PutRequest) {
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, Lease: r.Lease, ModRevision: s.revision, CreateRevision: s.revision, Version: 1}
	if old := s.keyValues[string(r.Key)]; old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, string(r.Key))
		}
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[string(r.Key)] = true
	}
	s.keyValues[string(r.Key)] = kv
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.PUT, Kv: kv})
}

// DeleteRange deletes the keys of a range.
func (s *Server) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.delete(r)
	return &pb.DeleteRangeResponse{Header: s.header(), Deleted: n}, nil
}

// delete deletes the keys of a range in a new revision and returns their number. The caller must hold the lock.
func (s *Server) delete(r *pb.DeleteRangeRequest) int64 {
	var keys []string
	for k := range s.keyValues {
		if inRange(k, r.Key, r.RangeEnd) {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	s.revision++
	sort.Strings(keys)
	for _, k := range keys {
		s.deleteKey(k)
	}
	s.notify()
	return int64(len(keys))
}

// deleteKey deletes a key at the current revision. The caller must hold the lock.
func (s *Server) deleteKey(key string) {
	if l := s.leases[s.keyValues[key].Lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.keyValues, key)
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.revision}})
}

// Compact compacts the history.
func (s *Server) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision <= s.compactedRevision {
		return nil, rpctypes.ErrGRPCCompacted
	}
	if r.Revision > s.revision {
		return nil, rpctypes.ErrGRPCFutureRev
	}
	s.compactTo(r.Revision)
	return &pb.CompactionResponse{Header: s.header()}, nil
}

// compactTo compacts the history up to a revision. The caller must hold the lock.
func (s *Server) compactTo(rev int64) {
	s.compactedRevision = rev
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Kv.ModRevision > rev })
	s.history = append([]*mvccpb.Event(nil), s.history[i:]...)
}

// header returns the header of a response. The caller must hold the lock.
func (s *Server) header() *pb.ResponseHeader {
	return &pb.ResponseHeader{Revision: s.revision, RaftTerm: 1}
}
