package simprotocol

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

const (
	// poolCount is the number of worker pools that the protocol numbers.
	poolCount = 16

	// maxPoolRows is the maximum number of workers in a pool.
	maxPoolRows = 1 << 20

	// noCell is the cell of a worker that belongs to no cell.
	noCell = -1
)

// pool is a list of workers that MEMBERSHIP lines refer to by number.
type pool struct {
	rows  []poolRow
	known bool // a POOL line has been received
}

type poolRow struct {
	worker, zone, kind string
	cell               int
	weight             float64
	state              dispatch.WorkerState
	startedAt          dispatch.Time
}

// parsePool parses a POOL line and reads its ROW lines.
func (r *Reader) parsePool(fields *fieldReader) error {
	page := fields.integer("page", 0, poolCount-1, -1)
	count := fields.integer("rows", 0, maxPoolRows, -1)
	if err := fields.finish(); err != nil {
		return err
	}
	rows := r.pools[page].rows[:0]
	for range count {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return errors.New("truncated input: ended inside a pool")
		}
		if err != nil {
			return err
		}
		name, rest, _ := bytes.Cut(line, []byte{'\t'})
		if string(name) != lineRow {
			return fmt.Errorf("unexpected message %q: must be ROW", name)
		}
		rowFields := fieldReader{rest: rest}
		row := parseRow(&rowFields)
		if err := rowFields.finish(); err != nil {
			return fmt.Errorf("ROW: %w", err)
		}
		rows = append(rows, row)
	}
	r.pools[page] = pool{rows: rows, known: true}
	return nil
}

func parseRow(fields *fieldReader) poolRow {
	return poolRow{
		worker:    string(fields.text("runner")),
		zone:      string(fields.next("az")),
		kind:      string(fields.next("sku")),
		cell:      int(fields.integer("group", noCell, maxID, noCell)),
		state:     parseState(fields),
		weight:    fields.number("heft"),
		startedAt: fields.duration("ready_at"),
	}
}

func parseState(fields *fieldReader) dispatch.WorkerState {
	switch mode := fields.next("mode"); string(mode) {
	case "healthy":
		return dispatch.Ready
	case "cordoned":
		return dispatch.Draining
	case "deregistered":
		return dispatch.Gone
	default:
		fields.fail(fmt.Errorf("mode: invalid value %q: must be healthy, cordoned or deregistered", mode))
		return 0
	}
}

// parseEndpoints parses a MEMBERSHIP line: a complete endpoint list, changes to it, or the loss of its watch.
func (r *Reader) parseEndpoints(fields *fieldReader, names *settings.NameTable) error {
	event := &r.event
	mode := fields.text("mode")
	page := fields.integer("page", 0, poolCount-1, 0)
	if version, ok := settings.ParseInt(fields.next("stamp")); ok && version > 0 {
		event.Version = uint64(version)
	}
	if err := fields.finish(); err != nil {
		return err
	}
	switch string(mode) {
	case "whole":
		event.Kind = dispatch.EndpointSnapshot
	case "stale_copy":
		event.Kind = dispatch.EndpointSnapshot
		event.Stale = true
	case "patch":
		event.Kind = dispatch.EndpointUpdate
	case "broken":
		event.Kind = dispatch.EndpointWatchLost
		return nil
	default:
		return fmt.Errorf("mode: invalid value %q: must be whole, stale_copy, patch or broken", mode)
	}
	if !r.pools[page].known {
		return fmt.Errorf("page: pool %d has not been received", page)
	}
	for i := range r.pools[page].rows {
		event.Workers = append(event.Workers, r.pools[page].rows[i].resolve(names))
	}
	r.workers = event.Workers
	return nil
}

// resolve replaces the names in a row by the ids of an instance.
func (p *poolRow) resolve(names *settings.NameTable) dispatch.Worker {
	id := names.InternWorker(p.worker)
	return dispatch.Worker{
		ID:        id,
		Zone:      names.ZoneID(p.zone),
		Kind:      names.KindID(p.kind),
		Cell:      p.cell,
		State:     p.state,
		StartedAt: p.startedAt,
		Tag:       names.WorkerTag(id),
		Weight:    p.weight,
	}
}
