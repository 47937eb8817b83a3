package settings

import (
	"hash/fnv"

	"birchfork/dispatch"
)

// workerTable assigns ids to workers in order of their first use. Ids are never reused.
type workerTable struct {
	workerIDs   map[string]dispatch.WorkerID
	workerNames []string
	workerTags  []uint64 // hashes of the names, the same at every dispatcher
}

// InternWorker returns the id of a worker; a new name gets a new id.
func (t *workerTable) InternWorker(name string) dispatch.WorkerID {
	if id, ok := t.workerIDs[name]; ok {
		return id
	}
	id := dispatch.WorkerID(len(t.workerNames))
	t.workerIDs[name] = id
	t.workerNames = append(t.workerNames, name)
	t.workerTags = append(t.workerTags, hashWorkerName(name))
	return id
}

// InternWorkerBytes is like InternWorker, but does not allocate for known names.
func (t *workerTable) InternWorkerBytes(name []byte) dispatch.WorkerID {
	if id, ok := t.workerIDs[string(name)]; ok {
		return id
	}
	return t.InternWorker(string(name))
}

// FindWorker returns the id of a worker, and whether its name is known.
func (t *workerTable) FindWorker(name string) (dispatch.WorkerID, bool) {
	id, ok := t.workerIDs[name]
	return id, ok
}

// WorkerName returns the name of the worker with the given id.
func (t *workerTable) WorkerName(id dispatch.WorkerID) string { return t.workerNames[id] }

// WorkerTag returns a hash of a worker's name, the same at every dispatcher.
func (t *workerTable) WorkerTag(id dispatch.WorkerID) uint64 { return t.workerTags[id] }

func hashWorkerName(name string) uint64 {
	hash := fnv.New32a()
	hash.Write([]byte(name)) // never fails
	return uint64(hash.Sum32())
}
