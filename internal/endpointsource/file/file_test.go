package file

import (
	"context"
	"io"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/endpointsource"
)

const two = "[[worker]]\nname='a'\naddress='127.0.0.1:1'\n[[worker]]\nname='b'\naddress='127.0.0.1:2'\nstate='draining'\n"

func TestDecodeNamesEveryFault(t *testing.T) {
	l, err := Decode("f", []byte(two))
	if err != nil || len(l) != 2 || l[0].State != dispatch.Ready || l[0].Cell != -1 || l[1].State != dispatch.Draining {
		t.Fatalf("%+v, %v", l, err)
	}
	_, err = Decode("f", []byte("[[worker]]\nname='a'\naddress='x'\nstate='on'\nweight=-1\n[[worker]]\nname='a'\naddress='127.0.0.1:1'\n"))
	if err == nil || strings.Count(err.Error(), "\n") != 3 || !strings.Contains(err.Error(), "f:7: worker[1].name") {
		t.Errorf("the faults: %v", err)
	}
}

// A file replaced by another is followed; a bad or missing one changes nothing.
func TestFileIsFollowed(t *testing.T) {
	path := t.TempDir() + "/workers.toml"
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write(two)
	log := logrus.New()
	log.SetOutput(io.Discard)
	told := make(chan endpointsource.News, 16)
	var lost atomic.Int64
	s := &Source{Path: path, Log: log, Tell: func(n endpointsource.News) { told <- n }, Lost: func() { lost.Add(1) }}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	if n := <-told; !n.Whole || len(n.Entries) != 2 {
		t.Errorf("at first: %+v", n)
	}
	write("[[worker]]\nname='c'\naddress='127.0.0.1:3'\n")
	if n := <-told; len(n.Entries) != 1 || n.Entries[0].Name != "c" {
		t.Errorf("after a change: %+v", n)
	}
	write("[[worker")
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	write(two)
	if n := <-told; len(n.Entries) != 2 {
		t.Errorf("after a bad one: %+v", n)
	}
	stop()
	<-done
	if len(told) != 0 {
		t.Errorf("%d lists more were told", len(told))
	}
}
