package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

const (
	// readBufferSize is the size of the input buffer in bytes. Longer lines are assembled in a second buffer.
	readBufferSize = 1 << 18

	// maxID is the maximum of instance numbers, peer numbers and other ids and codes in messages.
	maxID = 1 << 30
)

// Reader reads messages and keeps the name table of each instance, which Writer needs. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
	longLine   []byte // buffer for a line longer than the input buffer

	inBatch        bool
	instance       int // the instance that ON has selected
	names          map[int]*settings.NameTable
	freeSlotsNames map[int]string // by instance: the name under which load reports contain the free slots
	pools          [poolCount]pool

	event   dispatch.Event    // the last event, reused
	workers []dispatch.Worker // the workers of the last endpoint list, reused
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:             bufio.NewReaderSize(in, readBufferSize),
		instance:       noInstance,
		names:          map[int]*settings.NameTable{},
		freeSlotsNames: map[int]string{},
	}
}

// Line returns the number of the line read last. The first line is 1.
func (r *Reader) Line() int { return r.lineNumber }

// NameTable returns the name table of an instance, or nil if the instance has not started.
func (r *Reader) NameTable(instance int) *settings.NameTable { return r.names[instance] }

// Read reads the next message. It returns io.EOF if the input ends between two batches. Any other error describes the
// line whose number Line returns.
func (r *Reader) Read(message *Message) error {
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			if r.inBatch {
				return errors.New("truncated input: ended inside a batch")
			}
			return io.EOF
		}
		if err != nil {
			return fmt.Errorf("reading input: %w", err)
		}
		name, rest, hasValues := bytes.Cut(line, []byte{'\t'})
		fields := fieldReader{rest: rest, exhausted: !hasValues}
		relevant, err := r.parseLine(name, &fields, message)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if relevant {
			return nil
		}
	}
}

// readLine returns the next line without its newline, which may be missing at the end of the input.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	isLastLine := errors.Is(err, io.EOF) && len(line) > 0
	if err != nil && !isLastLine {
		return nil, err
	}
	r.lineNumber++
	return bytes.TrimSuffix(line, []byte{'\n'}), nil
}

// readLongLine reads the rest of a line that is longer than the input buffer.
func (r *Reader) readLongLine(begin []byte) ([]byte, error) {
	r.longLine = append(r.longLine[:0], begin...)
	for {
		part, err := r.in.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return r.longLine, err
		}
	}
}

// parseLine parses one line. It returns false if the line yields no message to the host.
func (r *Reader) parseLine(name []byte, fields *fieldReader, message *Message) (bool, error) {
	if string(name) == lineBatch {
		return true, r.parseBatch(fields, message)
	}
	if !r.inBatch {
		return false, errors.New("unexpected outside a batch")
	}
	switch string(name) {
	case lineFlush:
		message.Kind = BatchEnd
		r.inBatch = false
		return true, fields.finish()
	case lineOn:
		r.instance = int(fields.integer("i", 0, maxID, noInstance))
		return false, fields.finish()
	case linePool:
		return false, r.parsePool(fields)
	case lineRow:
		return false, errors.New("unexpected outside a pool")
	}
	return r.parseInstanceLine(name, fields, message)
}

func (r *Reader) parseBatch(fields *fieldReader, message *Message) error {
	if r.inBatch {
		return errors.New("previous batch has not ended")
	}
	message.Kind = BatchBegin
	message.Now = fields.duration("clock")
	r.inBatch = true
	r.instance = noInstance
	return fields.finish()
}

// parseInstanceLine parses a line for the selected instance.
func (r *Reader) parseInstanceLine(name []byte, fields *fieldReader, message *Message) (bool, error) {
	if r.instance < 0 {
		return false, errors.New("no instance selected")
	}
	message.Instance = r.instance
	if string(name) == lineStart {
		return true, r.parseStart(fields, message)
	}
	names := r.names[r.instance]
	if names == nil {
		return false, fmt.Errorf("instance %d has not started", r.instance)
	}
	if string(name) == lineCrash {
		message.Kind = InstanceStop
		delete(r.names, r.instance)
		return true, fields.finish()
	}
	message.Kind = InstanceEvent
	message.Event = &r.event
	return r.parseEvent(name, fields, names)
}

func (r *Reader) parseStart(fields *fieldReader, message *Message) error {
	if r.names[r.instance] != nil {
		return fmt.Errorf("instance %d is already running", r.instance)
	}
	seed, err := strconv.ParseUint(string(fields.text("prng")), 10, 64)
	if err != nil && fields.err == nil {
		return errors.New("prng: invalid value: must be an unsigned 64-bit integer")
	}
	if fields.err != nil {
		return fields.err
	}
	pairs, err := settings.ParsePairs(fields.rest)
	if err != nil {
		return err
	}
	names := settings.NewNameTable()
	message.Kind = InstanceStart
	message.Seed = seed
	message.Settings, err = settings.Decode(pairs, names)
	if err != nil {
		return err
	}
	r.names[r.instance] = names
	r.freeSlotsNames[r.instance] = freeSlotsName(pairs)
	return nil
}

// freeSlotsName returns the name under which load reports contain the free slots, or "" if they do not contain them.
func freeSlotsName(pairs *settings.Pairs) string {
	found := ""
	for _, name := range []string{"x0", "x1"} {
		if pairs.Text("extra.report_"+name, "") == "free_slots" {
			found = name
		}
	}
	return found
}
