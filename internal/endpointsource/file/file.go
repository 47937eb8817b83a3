// Package file follows a list of workers that a person or a program writes: a TOML file, read again when it changes. A
// file that makes no sense changes nothing; the last good list stays.
package file

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/fsnotify/fsnotify"
	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/endpointsource"
	"birchfork/internal/engine"
	"birchfork/internal/tomlfile"
)

// settleTime lets an editor finish: several events of one save become one reading.
const settleTime = 50 * time.Millisecond

// lookEvery is how often the file is looked at besides, where the system tells nothing.
const lookEvery = 2 * time.Second

type list struct {
	Workers []worker `toml:"worker"`
}

type worker struct {
	Name    string  `toml:"name"`
	Address string  `toml:"address"`
	Zone    string  `toml:"zone"`
	Kind    string  `toml:"kind"`
	Cell    int     `toml:"cell"`
	Weight  float64 `toml:"weight"`
	State   string  `toml:"state"`
	SinceMs int     `toml:"since_ms"`
}

// Decode reads a list. Its error names every fault.
func Decode(name string, raw []byte) ([]engine.Endpoint, error) {
	var l list
	d := tomlfile.Read(name, raw, &l)
	if len(d.Errors()) > 0 {
		return nil, d.Err()
	}
	seen := map[string]bool{}
	var out []engine.Endpoint
	for i, w := range l.Workers {
		at := fmt.Sprintf("worker[%d].", i)
		if w.Name == "" || seen[w.Name] {
			d.AddErrorf(at+"name", "%q is missing or stands twice", w.Name)
		}
		seen[w.Name] = true
		if host, port, err := net.SplitHostPort(w.Address); err != nil || host == "" || port == "" || port == "0" {
			d.AddErrorf(at+"address", "%q is not host:port", w.Address)
		}
		e := engine.Endpoint{Name: w.Name, Address: w.Address, Zone: w.Zone, Kind: w.Kind, Cell: -1, Weight: w.Weight, StartedAtMillis: int64(w.SinceMs)}
		if d.Has(at + "cell") {
			e.Cell = w.Cell
		}
		if !(w.Weight >= 0) || w.SinceMs < 0 {
			d.AddErrorf(at+"weight", "weight and since_ms are not below 0")
		}
		switch w.State {
		case "", "up":
		case "draining":
			e.State = dispatch.Draining
		default:
			d.AddErrorf(at+"state", "%q is neither up nor draining", w.State)
		}
		out = append(out, e)
	}
	if err := d.Err(); err != nil {
		return nil, err
	}
	return out, nil
}

// Source follows one file.
type Source struct {
	Path string
	Log  logrus.FieldLogger
	Tell func(endpointsource.News)
	Lost func()

	last string
	bad  string
}

// Run follows until ctx ends. The folder is watched, as editors put another file in the old one's place.
func (s *Source) Run(ctx context.Context) {
	var events chan fsnotify.Event
	if w, err := fsnotify.NewWatcher(); err == nil {
		defer w.Close()
		if w.Add(filepath.Dir(s.Path)) == nil {
			events = w.Events
		}
	}
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	s.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-look.C:
		case <-events:
			select {
			case <-time.After(settleTime):
			case <-ctx.Done():
				return
			}
			for drained := false; !drained; {
				select {
				case <-events:
				default:
					drained = true
				}
			}
		}
		s.read()
	}
}

// read reads the file; one that is as it was says nothing new.
func (s *Source) read() {
	f, err := os.Open(s.Path)
	var raw []byte
	if err == nil {
		raw, err = io.ReadAll(io.LimitReader(f, tomlfile.MaxSize+1))
		f.Close()
	}
	if err == nil && string(raw) == s.last && s.bad == "" {
		return
	}
	var entries []engine.Endpoint
	if err == nil {
		entries, err = Decode(s.Path, raw)
	}
	if err != nil {
		if err.Error() != s.bad { // once, however often it is looked at
			s.Log.Error("the workers' file cannot be used; the last good list stays: ", err)
			s.bad = err.Error()
		}
		s.Lost()
		return
	}
	s.last, s.bad = string(raw), ""
	s.Tell(endpointsource.News{Whole: true, Entries: entries})
}
