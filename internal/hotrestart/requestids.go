package hotrestart

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"unsafe"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

// The file of request ids. All processes map it into their memory. It has a header and a table of words, each of which is read and
// written atomically only, so that a process may be killed at any time.
const (
	requestIDsFile   = "ids"
	requestIDsFormat = "birchfork ids 1\n"

	wordBytes      = 8
	formatWords    = len(requestIDsFormat) / wordBytes
	dispatcherWord = formatWords        // hash of the dispatcher's name
	sequenceWord   = dispatcherWord + 1 // number of ids that were ever added
	memberCount    = 16                 // processes that used the file last
	firstMember    = sequenceWord + 1   // the claim ids of these processes
	headerWords    = 64
	bucketCount    = 2048
	bucketWords    = 16
	fileWords      = headerWords + bucketCount*bucketWords
)

// A word of the table has a part of the id's hash and, below it, the sequence number at which the id was added, modulo 2^sequenceBits. A
// word of 0 is free.
const (
	sequenceBits = 20
	sequenceMask = 1<<sequenceBits - 1

	// maxNewer is the number of ids that other processes may add between the read of the sequence number and that of a word.
	maxNewer = 1 << 16
)

// errForeignFile is the error for a file of request ids that cannot be used.
var errForeignFile = fmt.Errorf("%s: %w", requestIDsFile, errUnusableFile)

// RequestIDs is the set of the ids of requests that are open, or were of late, at any process of a dispatcher. It holds the last 32,768 ids,
// of which each bucket of the table keeps its newest. Claims of several processes exclude each other; one process must not make two at a
// time. It outlives the processes that use it.
type RequestIDs struct {
	words   []uint64
	mapping []byte
	file    os.FileInfo
	faulty  atomic.Bool // the file was truncated while it was mapped
}

// Claim adds an id and reports whether it was absent. If several processes claim the same id, one of them succeeds. A set whose file has been
// truncated has no ids, and all claims succeed: see Usable.
func (r *RequestIDs) Claim(id string) (claimed bool) {
	if r.faulty.Load() {
		return true
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if recover() != nil {
			r.faulty.Store(true)
			claimed = true
		}
	}()
	hash := xxhash.Sum64String(id)
	bucket := r.bucket(hash)
	part := max(hash>>sequenceBits, 1)
	for {
		oldest, word, found := findOrOldest(bucket, part, atomic.LoadUint64(&r.words[sequenceWord]))
		if found {
			return false
		}
		sequence := atomic.AddUint64(&r.words[sequenceWord], 1)
		// If another process has added the same id meanwhile, it has replaced the same word: both processes choose the oldest one, and words
		// only become newer. The exchange then fails, and the next search finds the id.
		if atomic.CompareAndSwapUint64(oldest, word, part<<sequenceBits|sequence&sequenceMask) {
			return true
		}
	}
}

// bucket returns the words among which an id with this hash is stored. The bucket depends on the bits of the hash that are not stored.
func (r *RequestIDs) bucket(hash uint64) []uint64 {
	first := headerWords + int(hash%bucketCount)*bucketWords
	return r.words[first : first+bucketWords]
}

// findOrOldest searches a bucket for a part of a hash. If it is not found, it returns the first free or else the oldest word, and the value
// that was read there.
func findOrOldest(bucket []uint64, part, sequence uint64) (oldest *uint64, value uint64, found bool) {
	var maxAge uint64
	for i := range bucket {
		word := atomic.LoadUint64(&bucket[i])
		if word>>sequenceBits == part {
			return nil, 0, true
		}
		age := (sequence + maxNewer - word) & sequenceMask
		if word == 0 {
			age = sequenceMask + 1
		}
		if oldest == nil || age > maxAge {
			oldest, value, maxAge = &bucket[i], word, age
		}
	}
	return oldest, value, false
}

// Usable reports whether the set is still the one that a process which starts now would use.
func (r *RequestIDs) Usable(p *Process) bool {
	info := statOrNil(filepath.Join(p.dir, requestIDsFile))
	return info != nil && os.SameFile(info, r.file) && info.Size() == r.file.Size() && !r.faulty.Load()
}

// HasMember reports whether the process with a claim id is one of the last that used the set.
func (r *RequestIDs) HasMember(claimID int64) bool {
	for i := range memberCount {
		if atomic.LoadUint64(&r.words[firstMember+i]) == uint64(claimID) {
			return true
		}
	}
	return false
}

// addMember records that a process uses the set, in place of the process that began to use it first.
func (r *RequestIDs) addMember(claimID int64) {
	for !r.HasMember(claimID) {
		oldest := &r.words[firstMember]
		for i := range memberCount {
			member := &r.words[firstMember+i]
			if atomic.LoadUint64(member) < atomic.LoadUint64(oldest) {
				oldest = member
			}
		}
		atomic.CompareAndSwapUint64(oldest, atomic.LoadUint64(oldest), uint64(claimID))
	}
}

// Close ends the use of the set by this process. No method may be called afterwards.
func (r *RequestIDs) Close() {
	r.words = nil
	_ = unix.Munmap(r.mapping) // fails only for an address that is not mapped
}

// OpenRequestIDs returns the set of this process and its siblings. It creates the set if there is none, and replaces an unusable file. It
// returns nil if nothing is shared.
func (p *Process) OpenRequestIDs() (*RequestIDs, error) {
	if p.claimFile == nil {
		return nil, nil
	}
	path := filepath.Join(p.dir, requestIDsFile)
	ids, err := p.mapRequestIDs(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, errUnusableFile) {
		if err := p.createRequestIDs(path); err != nil {
			return nil, err
		}
		ids, err = p.mapRequestIDs(path)
	}
	if err != nil {
		return nil, err
	}
	ids.addMember(p.id)
	return ids, nil
}

// mapRequestIDs maps the file at path. The error wraps os.ErrNotExist if there is none, and errUnusableFile if it is not a file of this
// dispatcher's request ids.
func (p *Process) mapRequestIDs(path string) (*RequestIDs, error) {
	file, err := os.OpenFile(path, os.O_RDWR|syscall.O_NONBLOCK, 0)
	if errors.Is(err, syscall.EISDIR) {
		return nil, errForeignFile
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", requestIDsFile, err)
	}
	defer file.Close()
	info, err := file.Stat()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", requestIDsFile, err)
	}
	if !info.Mode().IsRegular() || info.Size() != fileWords*wordBytes {
		return nil, errForeignFile
	}
	mapping, err := unix.Mmap(int(file.Fd()), 0, fileWords*wordBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("%s: mapping: %w", requestIDsFile, err)
	}
	ids := &RequestIDs{words: unsafe.Slice((*uint64)(unsafe.Pointer(&mapping[0])), fileWords), mapping: mapping, file: info}
	switch {
	case string(mapping[:len(requestIDsFormat)]) != requestIDsFormat:
		err = errForeignFile
	case ids.words[dispatcherWord] != xxhash.Sum64String(p.name): // not replaced, because the other dispatcher may be using it
		err = fmt.Errorf("%s: the file is of another dispatcher, whose name gives the same directory", requestIDsFile)
	}
	if err != nil {
		ids.Close()
		return nil, err
	}
	return ids, nil
}

// createRequestIDs creates a file with an empty set at path, in place of an unusable one, unless another process has just done so. All blocks
// of the file are written, so that no later write of the mapped memory can fail.
func (p *Process) createRequestIDs(path string) error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	switch ids, err := p.mapRequestIDs(path); {
	case err == nil: // another process has created it
		ids.Close()
		return nil
	case errors.Is(err, errUnusableFile):
		removeFile(path) // a rename does not replace a folder
	}
	content := make([]byte, fileWords*wordBytes)
	copy(content, requestIDsFormat)
	binary.NativeEndian.PutUint64(content[dispatcherWord*wordBytes:], xxhash.Sum64String(p.name))
	file, err := os.CreateTemp(p.dir, tempPrefix)
	if err != nil {
		return fmt.Errorf("%s: %w", requestIDsFile, err)
	}
	_, writeErr := file.Write(content)
	err = errors.Join(writeErr, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		removeFile(file.Name())
		return fmt.Errorf("%s: %w", requestIDsFile, err)
	}
	return nil
}
