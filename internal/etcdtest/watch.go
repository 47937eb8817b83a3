package etcdtest

import (
	"sort"

	pb "go.etcd.io/etcd/api/v3/etcdserverpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// watch is one watch of a stream.
type watch struct {
	id           int64
	key          []byte
	rangeEnd     []byte
	nextRevision int64 // the first revision that has not been sent yet
}

// watchStream is one stream and its watches. Only the goroutine of Watch uses it.
type watchStream struct {
	pb.Watch_WatchServer
	server  *Server
	watches map[int64]*watch
	nextID  int64
}

// Watch serves one stream until the client or DropWatches ends it.
func (s *Server) Watch(stream pb.Watch_WatchServer) error {
	if err := s.awaitAvailable(stream.Context()); err != nil {
		return err
	}
	requests, ended := receiveRequests(stream)
	s.mu.Lock()
	s.openWatches++
	dropped := s.dropped
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.openWatches--
	}()
	w := &watchStream{Watch_WatchServer: stream, server: s, watches: map[int64]*watch{}}
	for {
		changed, err := w.sendPending()
		if err != nil {
			return err
		}
		select {
		case request := <-requests:
			for _, response := range w.handle(request) {
				if err := stream.Send(response); err != nil {
					return err
				}
			}
		case <-changed:
		case <-dropped:
			return status.Error(codes.Unavailable, "the test server dropped its watches")
		case <-ended:
			return nil
		case <-stream.Context().Done():
			return nil
		}
	}
}

// receiveRequests starts a goroutine that receives the requests of a stream until the stream ends.
func receiveRequests(stream pb.Watch_WatchServer) (requests <-chan *pb.WatchRequest, ended <-chan struct{}) {
	received := make(chan *pb.WatchRequest)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			request, err := stream.Recv()
			if err != nil {
				return
			}
			select {
			case received <- request:
			case <-stream.Context().Done():
				return
			}
		}
	}()
	return received, done
}

// sendPending sends the pending responses and returns a channel that is closed at the next change.
func (w *watchStream) sendPending() (changed <-chan struct{}, err error) {
	responses, changed := w.pendingResponses()
	for _, response := range responses {
		if err := w.server.awaitAvailable(w.Context()); err != nil {
			return nil, err
		}
		if err := w.Send(response); err != nil {
			return nil, err
		}
	}
	return changed, nil
}

// handle executes one request and returns the responses.
func (w *watchStream) handle(request *pb.WatchRequest) []*pb.WatchResponse {
	s := w.server
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case request.GetCreateRequest() != nil:
		return w.create(request.GetCreateRequest())
	case request.GetCancelRequest() != nil:
		id := request.GetCancelRequest().WatchId
		delete(w.watches, id)
		return []*pb.WatchResponse{{Header: s.header(), WatchId: id, Canceled: true}}
	case request.GetProgressRequest() != nil:
		return []*pb.WatchResponse{{Header: s.header(), WatchId: allWatches}}
	}
	return nil
}

// allWatches is the watch id of a response that applies to all watches of a stream.
const allWatches = -1

// create creates a watch, unless its first revision has been compacted. The caller must hold the server's lock.
func (w *watchStream) create(request *pb.WatchCreateRequest) []*pb.WatchResponse {
	s := w.server
	created := &watch{id: w.nextID, key: request.Key, rangeEnd: request.RangeEnd, nextRevision: request.StartRevision}
	w.nextID++
	if created.nextRevision == 0 {
		created.nextRevision = s.revision + 1
	}
	responses := []*pb.WatchResponse{{Header: s.header(), WatchId: created.id, Created: true}}
	if created.nextRevision <= s.compactedRevision {
		canceled := s.compactedResponse(created.id)
		canceled.CancelReason = "the revision has been compacted"
		return append(responses, canceled)
	}
	w.watches[created.id] = created
	return responses
}

// compactedResponse returns the response that cancels a watch whose next revision has been compacted. The caller must hold the lock.
func (s *Server) compactedResponse(id int64) *pb.WatchResponse {
	return &pb.WatchResponse{Header: s.header(), WatchId: id, Canceled: true, CompactRevision: s.compactedRevision}
}

// pendingResponses returns responses with the events that have not been sent yet, or that cancel watches whose next revision has been
// compacted. It also returns a channel that is closed at the next change.
func (w *watchStream) pendingResponses() (responses []*pb.WatchResponse, changed <-chan struct{}) {
	s := w.server
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, watch := range w.watches {
		if watch.nextRevision <= s.compactedRevision {
			responses = append(responses, s.compactedResponse(id))
			delete(w.watches, id)
			continue
		}
		response := &pb.WatchResponse{Header: s.header(), WatchId: id}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Kv.ModRevision >= watch.nextRevision })
		for _, event := range s.history[first:] {
			if inRange(string(event.Kv.Key), watch.key, watch.rangeEnd) {
				response.Events = append(response.Events, event)
			}
		}
		watch.nextRevision = s.revision + 1
		if len(response.Events) > 0 {
			responses = append(responses, response)
		}
	}
	return responses, s.changed
}

// notify wakes all watches. The caller must hold the lock.
func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
