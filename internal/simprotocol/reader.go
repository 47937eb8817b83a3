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
	// readBufferSize is the size of the input's buffer, in bytes. Longer lines are copied.
	readBufferSize = 1 << 18

	// maxID limits the numbers of instances, peers and the like.
	maxID = 1 << 30
)

// Reader reads messages and stores the names of each instance, which a Writer needs. It is not safe for concurrent use.
type Reader struct {
	in         *bufio.Reader
	lineNumber int
	longLine   []byte // a line that does not fit the buffer

	inBatch         bool
	instance        int // of the following lines
	names           map[int]*settings.NameTable
	freeSlotsValues map[int]string // the value of a load report that contains the free slots, by instance
	pools           [poolCount]pool

	event   dispatch.Event    // the last one, reused
	workers []dispatch.Worker // of the last endpoint list, reused
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{
		in:              bufio.NewReaderSize(in, readBufferSize),
		instance:        noInstance,
		names:           map[int]*settings.NameTable{},
		freeSlotsValues: map[int]string{},
	}
}

// Line returns the number of the last line read, counted from 1.
func (r *Reader) Line() int { return r.lineNumber }

// NameTable returns the names of an instance; nil if it has not started.
func (r *Reader) NameTable(instance int) *settings.NameTable { return r.names[instance] }

// Read reads the next message. It returns io.EOF if the input ends between two batches, and otherwise an error that
// describes what is wrong with the line that Line returns.
func (r *Reader) Read(message *Message) error {
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			if r.inBatch {
				return errors.New("the input ended inside a batch")
			}
			return io.EOF
		}
		if err != nil {
			return fmt.Errorf("reading the input: %w", err)
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

// readLine returns the next line without its ending, which may be missing on the last line of the input.
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

// readLongLine reads the rest of a line that does not fit the buffer.
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

// parseLine parses one line. It returns false if the line is not a message to the host.
func (r *Reader) parseLine(name []byte, fields *fieldReader, message *Message) (bool, error) {
	if string(name) == lineBatch {
		return true, r.parseBatch(fields, message)
	}
	if !r.inBatch {
		return false, errors.New("it stands outside a batch")
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
		return false, errors.New("it stands outside a pool")
	}
	return r.parseInstanceLine(name, fields, message)
}

func (r *Reader) parseBatch(fields *fieldReader, message *Message) error {
	if r.inBatch {
		return errors.New("the last batch has not ended")
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
		return false, errors.New("no instance is set")
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
		return fmt.Errorf("instance %d runs already", r.instance)
	}
	seed, err := strconv.ParseUint(string(fields.text("prng")), 10, 64)
	if err != nil && fields.err == nil {
		return errors.New("prng: not a whole number")
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
	r.freeSlotsValues[r.instance] = freeSlotsValue(pairs)
	return nil
}

// freeSlotsValue returns which value of a load report contains the free slots; empty for none.
func freeSlotsValue(pairs *settings.Pairs) string {
	found := ""
	for _, value := range []string{"x0", "x1"} {
		if pairs.Text("extra.report_"+value, "") == "free_slots" {
			found = value
		}
	}
	return found
}
