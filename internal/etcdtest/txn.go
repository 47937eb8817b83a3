package etcdtest

import (
	"context"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Txn executes a transaction in one revision. It supports only comparisons of versions and revisions.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	succeeded := true
	for _, comparison := range r.Compare {
		holds, err := s.holds(comparison)
		if err != nil {
			return nil, err
		}
		succeeded = succeeded && holds
	}
	operations := r.Success
	if !succeeded {
		operations = r.Failure
	}
	response := &pb.TxnResponse{Succeeded: succeeded}
	s.revision++
	eventsBefore := len(s.history)
	for _, operation := range operations {
		if r := s.apply(operation); r != nil {
			response.Responses = append(response.Responses, r)
		}
	}
	if len(s.history) == eventsBefore {
		s.revision-- // nothing was written
	} else {
		s.notify()
	}
	response.Header = s.header()
	return response, nil
}

// holds evaluates a comparison. The caller must hold the lock.
func (s *Server) holds(c *pb.Compare) (bool, error) {
	kv := s.keyValues[string(c.Key)]
	if kv == nil {
		kv = &mvccpb.KeyValue{}
	}
	var have, want int64
	switch c.Target {
	case pb.Compare_VERSION:
		have, want = kv.Version, c.GetVersion()
	case pb.Compare_MOD:
		have, want = kv.ModRevision, c.GetModRevision()
	case pb.Compare_CREATE:
		have, want = kv.CreateRevision, c.GetCreateRevision()
	default:
		return false, status.Error(codes.Unimplemented, "the test server supports only comparisons of versions and revisions")
	}
	switch c.Result {
	case pb.Compare_EQUAL:
		return have == want, nil
	case pb.Compare_GREATER:
		return have > want, nil
	case pb.Compare_LESS:
		return have < want, nil
	case pb.Compare_NOT_EQUAL:
		return have != want, nil
	}
	return true, nil
}

// apply executes one operation of a transaction. It returns nil if the kind of operation is not supported. The caller must hold the lock.
func (s *Server) apply(operation *pb.RequestOp) *pb.ResponseOp {
	switch {
	case operation.GetRequestPut() != nil:
		s.put(operation.GetRequestPut())
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: &pb.PutResponse{Header: s.header()}}}
	case operation.GetRequestDeleteRange() != nil:
		r := operation.GetRequestDeleteRange()
		for key := range s.keyValues {
			if inRange(key, r.Key, r.RangeEnd) {
				s.deleteKey(key)
			}
		}
		deleted := &pb.DeleteRangeResponse{Header: s.header()}
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: deleted}}
	case operation.GetRequestRange() != nil:
		read := s.readRange(operation.GetRequestRange())
		return &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: read}}
	}
	return nil
}
