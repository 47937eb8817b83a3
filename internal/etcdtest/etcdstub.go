// Package etcdtest is a small etcd of our own, by etcd's published gRPC API: key-value with revisions and history, watch,
// leases and compaction, as far as a list of workers needs them. It can be broken on command. It stands in for etcd in
// tests and in the lab, in one process, on loopback; it keeps nothing on disk and is no store for anything else.
package etcdtest

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"sort"
	"sync"
	"time"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"go.etcd.io/etcd/api/v3/mvccpb"
	"go.etcd.io/etcd/api/v3/v3rpc/rpctypes"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Server is one stand-in.
type Server struct {
	pb.UnimplementedKVServer
	pb.UnimplementedWatchServer
	pb.UnimplementedLeaseServer

	listener net.Listener
	grpc     *grpc.Server

	mu       sync.Mutex
	rev      int64
	compact  int64 // revisions up to this are forgotten
	kvs      map[string]*mvccpb.KeyValue
	history  []*mvccpb.Event // by revision
	leases   map[int64]*lease
	changed  chan struct{} // closed at each change, and made anew
	dropped  chan struct{} // closed when all watches are dropped
	hung     chan struct{} // not nil: nothing is answered until it is closed
	refusing bool
	watches  int // streams open
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]bool
}

// Start listens on a loopback address.
func Start() (*Server, error) { return StartAt("127.0.0.1:0") }

// StartAt listens on a given one: to come back where another was.
func StartAt(addr string) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("etcd stand-in: listening: %w", err)
	}
	s := &Server{
		listener: l, rev: 1, kvs: map[string]*mvccpb.KeyValue{}, leases: map[int64]*lease{}, changed: make(chan struct{}), dropped: make(chan struct{}),
	}
	s.grpc = grpc.NewServer(grpc.UnaryInterceptor(s.gate))
	pb.RegisterKVServer(s.grpc, s)
	pb.RegisterWatchServer(s.grpc, s)
	pb.RegisterLeaseServer(s.grpc, s)
	go s.grpc.Serve(l)
	return s, nil
}

// Address is where it listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends it at once.
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

// gate holds calls back or turns them down, as ordered.
func (s *Server) gate(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	return next(ctx, req)
}

func (s *Server) wait(ctx context.Context) error {
	s.mu.Lock()
	hung, refusing := s.hung, s.refusing
	s.mu.Unlock()
	if refusing {
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

// Hang makes it answer nothing, or go on.
func (s *Server) Hang(on bool) {
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

// Refuse makes it turn calls down as a member without a leader does, and end all watches; or take them again.
func (s *Server) Refuse(on bool) {
	s.mu.Lock()
	s.refusing = on
	s.mu.Unlock()
	if on {
		s.DropWatches()
	}
}

// DropWatches ends all watch streams that are open.
func (s *Server) DropWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.dropped)
	s.dropped = make(chan struct{})
}

// Watches is how many watch streams are open.
func (s *Server) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

// Revision is the newest one.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// CompactNow forgets all history up to the newest revision.
func (s *Server) CompactNow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(s.rev)
}

func (s *Server) forget(rev int64) {
	s.compact = rev
	i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Kv.ModRevision > rev })
	s.history = append([]*mvccpb.Event(nil), s.history[i:]...)
}

// Copy is the content at a moment, to restore later.
type Copy struct {
	rev int64
	kvs map[string]*mvccpb.KeyValue
}

// Copy copies the content.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Copy{s.rev, map[string]*mvccpb.KeyValue{}}
	for k, v := range s.kvs {
		c.kvs[k] = v
	}
	return c
}

// Restore goes back to an older copy: revisions go backwards, and watches end.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	s.rev, s.compact, s.history, s.kvs = c.rev, c.rev, nil, map[string]*mvccpb.KeyValue{}
	for k, v := range c.kvs {
		s.kvs[k] = v
	}
	s.mu.Unlock()
	s.DropWatches()
}

func (s *Server) header() *pb.ResponseHeader { return &pb.ResponseHeader{Revision: s.rev, RaftTerm: 1} }

// inRange tells whether a key is meant by a key and an end, as etcd has them.
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

// Range reads keys.
func (s *Server) Range(_ context.Context, r *pb.RangeRequest) (*pb.RangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision > 0 && r.Revision < s.compact {
		return nil, rpctypes.ErrGRPCCompacted
	}
	return s.read(r), nil
}

func (s *Server) read(r *pb.RangeRequest) *pb.RangeResponse {
	res := &pb.RangeResponse{Header: s.header()}
	for k, kv := range s.kvs {
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
	s.rev++
	s.put(r)
	s.notify()
	return &pb.PutResponse{Header: s.header()}, nil
}

func (s *Server) put(r *pb.PutRequest) {
	kv := &mvccpb.KeyValue{Key: r.Key, Value: r.Value, Lease: r.Lease, ModRevision: s.rev, CreateRevision: s.rev, Version: 1}
	if old := s.kvs[string(r.Key)]; old != nil {
		kv.CreateRevision, kv.Version = old.CreateRevision, old.Version+1
		if l := s.leases[old.Lease]; l != nil {
			delete(l.keys, string(r.Key))
		}
	}
	if l := s.leases[r.Lease]; l != nil {
		l.keys[string(r.Key)] = true
	}
	s.kvs[string(r.Key)] = kv
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.PUT, Kv: kv})
}

// DeleteRange deletes keys.
func (s *Server) DeleteRange(_ context.Context, r *pb.DeleteRangeRequest) (*pb.DeleteRangeResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.delete(r)
	return &pb.DeleteRangeResponse{Header: s.header(), Deleted: n}, nil
}

// delete deletes keys in one revision of its own, if there are any.
func (s *Server) delete(r *pb.DeleteRangeRequest) (n int64) {
	var keys []string
	for k := range s.kvs {
		if inRange(k, r.Key, r.RangeEnd) {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return 0
	}
	s.rev++
	sort.Strings(keys)
	for _, k := range keys {
		s.drop(k)
	}
	s.notify()
	return int64(len(keys))
}

func (s *Server) drop(key string) {
	if l := s.leases[s.kvs[key].Lease]; l != nil {
		delete(l.keys, key)
	}
	delete(s.kvs, key)
	s.history = append(s.history, &mvccpb.Event{Type: mvccpb.DELETE, Kv: &mvccpb.KeyValue{Key: []byte(key), ModRevision: s.rev}})
}

// Txn carries out puts and deletes in one revision. Of comparisons it knows those of versions and mod revisions.
func (s *Server) Txn(_ context.Context, r *pb.TxnRequest) (*pb.TxnResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok := true
	for _, c := range r.Compare {
		var have, want int64
		kv := s.kvs[string(c.Key)]
		if kv == nil {
			kv = &mvccpb.KeyValue{}
		}
		switch c.Target {
		case pb.Compare_VERSION:
			have, want = kv.Version, c.GetVersion()
		case pb.Compare_MOD:
			have, want = kv.ModRevision, c.GetModRevision()
		case pb.Compare_CREATE:
			have, want = kv.CreateRevision, c.GetCreateRevision()
		default:
			return nil, status.Error(codes.Unimplemented, "the stand-in compares versions and revisions only")
		}
		switch c.Result {
		case pb.Compare_EQUAL:
			ok = ok && have == want
		case pb.Compare_GREATER:
			ok = ok && have > want
		case pb.Compare_LESS:
			ok = ok && have < want
		case pb.Compare_NOT_EQUAL:
			ok = ok && have != want
		}
	}
	ops := r.Success
	if !ok {
		ops = r.Failure
	}
	res := &pb.TxnResponse{Succeeded: ok}
	s.rev++
	before := len(s.history)
	for _, op := range ops {
		switch {
		case op.GetRequestPut() != nil:
			s.put(op.GetRequestPut())
			res.Responses = append(res.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponsePut{ResponsePut: &pb.PutResponse{Header: s.header()}}})
		case op.GetRequestDeleteRange() != nil:
			d := op.GetRequestDeleteRange()
			for k := range s.kvs {
				if inRange(k, d.Key, d.RangeEnd) {
					s.drop(k)
				}
			}
			res.Responses = append(res.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseDeleteRange{ResponseDeleteRange: &pb.DeleteRangeResponse{Header: s.header()}}})
		case op.GetRequestRange() != nil:
			res.Responses = append(res.Responses, &pb.ResponseOp{Response: &pb.ResponseOp_ResponseRange{ResponseRange: s.read(op.GetRequestRange())}})
		}
	}
	if len(s.history) == before {
		s.rev--
	} else {
		s.notify()
	}
	res.Header = s.header()
	return res, nil
}

// Compact forgets history.
func (s *Server) Compact(_ context.Context, r *pb.CompactionRequest) (*pb.CompactionResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Revision <= s.compact {
		return nil, rpctypes.ErrGRPCCompacted
	}
	if r.Revision > s.rev {
		return nil, rpctypes.ErrGRPCFutureRev
	}
	s.forget(r.Revision)
	return &pb.CompactionResponse{Header: s.header()}, nil
}

// notify wakes all watches. The lock is held.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// watch is one watch of a stream.
type watch struct {
	id         int64
	key, end   []byte
	next       int64
	progressed bool
}

// Watch serves one stream.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	if err := s.wait(stream.Context()); err != nil {
		return err
	}
	requests := make(chan *pb.WatchRequest)
	ended := make(chan error, 1)
	go func() {
		for {
			r, err := stream.Recv()
			if err != nil {
				ended <- err
				return
			}
			select {
			case requests <- r:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	s.mu.Lock()
	s.watches++
	dropped := s.dropped
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.watches--
	}()
	watches := map[int64]*watch{}
	serial := int64(0)
	for {
		out, changed := s.due(watches)
		for _, r := range out {
			if err := s.wait(stream.Context()); err != nil {
				return err
			}
			if err := stream.Send(r); err != nil {
				return err
			}
		}
		select {
		case r := <-requests:
			for _, a := range s.ask(r, watches, &serial) {
				if err := stream.Send(a); err != nil {
					return err
				}
			}
		case <-changed:
		case <-dropped:
			return status.Error(codes.Unavailable, "the stand-in dropped its watches")
		case <-ended:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}

// ask takes one request of a stream.
func (s *Server) ask(r *pb.WatchRequest, watches map[int64]*watch, serial *int64) []*pb.WatchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.GetCreateRequest() != nil:
		c := r.GetCreateRequest()
		w := &watch{id: *serial, key: c.Key, end: c.RangeEnd, next: c.StartRevision}
		*serial++
		if w.next == 0 {
			w.next = s.rev + 1
		}
		out := []*pb.WatchResponse{{Header: s.header(), WatchId: w.id, Created: true}}
		if w.next <= s.compact {
			return append(out, &pb.WatchResponse{
				Header: s.header(), WatchId: w.id, Canceled: true, CompactRevision: s.compact, CancelReason: "the revision has been compacted",
			})
		}
		watches[w.id] = w
		return out
	case r.GetCancelRequest() != nil:
		id := r.GetCancelRequest().WatchId
		delete(watches, id)
		return []*pb.WatchResponse{{Header: s.header(), WatchId: id, Canceled: true}}
	case r.GetProgressRequest() != nil:
		return []*pb.WatchResponse{{Header: s.header(), WatchId: -1}}
	}
	return nil
}

// due is what watches have not been sent yet.
func (s *Server) due(watches map[int64]*watch) (out []*pb.WatchResponse, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, w := range watches {
		if w.next <= s.compact {
			out = append(out, &pb.WatchResponse{Header: s.header(), WatchId: id, Canceled: true, CompactRevision: s.compact})
			delete(watches, id)
			continue
		}
		r := &pb.WatchResponse{Header: s.header(), WatchId: id}
		i := sort.Search(len(s.history), func(i int) bool { return s.history[i].Kv.ModRevision >= w.next })
		for _, e := range s.history[i:] {
			if inRange(string(e.Kv.Key), w.key, w.end) {
				r.Events = append(r.Events, e)
			}
		}
		w.next = s.rev + 1
		if len(r.Events) > 0 {
			out = append(out, r)
		}
	}
	return out, s.changed
}

// LeaseGrant gives a lease.
func (s *Server) LeaseGrant(_ context.Context, r *pb.LeaseGrantRequest) (*pb.LeaseGrantResponse, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.ID
	if id == 0 {
		id = s.rev<<16 + int64(len(s.leases)) + 1
	}
	if s.leases[id] != nil {
		return nil, rpctypes.ErrGRPCDuplicateKey
	}
	l := &lease{ttl: time.Duration(r.TTL) * time.Second, keys: map[string]bool{}}
	l.timer = time.AfterFunc(l.ttl, func() { s.Expire(id) })
	s.leases[id] = l
	return &pb.LeaseGrantResponse{Header: s.header(), ID: id, TTL: r.TTL}, nil
}

// Expire ends a lease at once, as if its time had run out; its keys are deleted.
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
	s.rev++
	for k := range l.keys {
		if s.kvs[k] != nil {
			s.drop(k)
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
		if err := s.wait(stream.Context()); err != nil {
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
