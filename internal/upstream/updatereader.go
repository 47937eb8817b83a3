package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
)

// Memory of a line that exceeds the buffer of its connection.
const (
	minLineBuffer      = 8 << 10 // initial capacity; it doubles up to MaxLineBytes
	decodeBytesPerByte = 2       // of the line, while it is decoded: each text in it is unescaped and copied
)

// updateReader reads the status updates of one response.
type updateReader struct {
	ctx    context.Context // of the attempt
	id     string          // of the request, to which all lines have to refer
	body   *bufio.Reader
	memory *responseReservation
}

// next reads and decodes the next line that is not empty. If it returns a result that had to be reserved, the memory of the result stays
// reserved.
func (r *updateReader) next() (statusUpdate, error) {
	for {
		line, buffered, err := r.readLine(MaxLineBytes)
		if err != nil {
			return statusUpdate{}, err
		}
		if len(line) > 0 {
			return r.decode(line, buffered)
		}
	}
}

// decode decodes a line. If it is buffered, the memory for that is reserved.
func (r *updateReader) decode(line []byte, buffered bool) (statusUpdate, error) {
	if !buffered {
		return decodeStatusUpdate(line, r.id)
	}
	var update statusUpdate
	var err error
	memoryErr := r.memory.decode(decodeBytesPerByte*int64(len(line)), func() (kept int64) {
		update, err = decodeStatusUpdate(line, r.id)
		return int64(cap(update.Result))
	})
	return update, errors.Join(memoryErr, err)
}

// readLine returns the next line, of at most maxBytes, without the line ending. Only the last line of a complete response may lack the line
// ending. The returned slice is valid until the next read. buffered reports that it is not part of the connection's buffer, but of one whose
// memory is reserved.
func (r *updateReader) readLine(maxBytes int) (line []byte, buffered bool, err error) {
	for {
		part, err := r.body.ReadSlice('\n')
		size := len(line) + len(part)
		isFull := errors.Is(err, bufio.ErrBufferFull)
		endsResponse := errors.Is(err, io.EOF) && size > 0
		switch {
		case size > maxBytes:
			return nil, false, errLineTooLong
		case err != nil && !isFull && !endsResponse:
			return nil, false, err
		case !isFull && line == nil:
			return trimLineEnding(part), false, nil
		}
		if line, err = r.extend(line, part, maxBytes); err != nil {
			return nil, false, err
		}
		if !isFull {
			return trimLineEnding(line), true, nil
		}
	}
}

// extend appends a part to a line of at most maxBytes. It reserves memory before it allocates a larger buffer.
func (r *updateReader) extend(line, part []byte, maxBytes int) ([]byte, error) {
	size := len(line) + len(part)
	if size <= cap(line) {
		return append(line, part...), nil
	}
	capacity := max(size, min(max(2*cap(line), minLineBuffer), maxBytes))
	if err := r.memory.grow(r.ctx, int64(capacity)); err != nil {
		return nil, err
	}
	extended := append(make([]byte, 0, capacity), line...)
	r.memory.replace(int64(cap(line)))
	return append(extended, part...), nil
}

// trimLineEnding returns a line without its line ending.
func trimLineEnding(line []byte) []byte { return bytes.TrimRight(line, "\r\n") }
