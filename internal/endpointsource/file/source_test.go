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

const twoWorkers = "[[worker]]\nname='a'\naddress='127.0.0.1:1'\n[[worker]]\nname='b'\naddress='127.0.0.1:2'\nstate='draining'\n"

func TestDecode_ReportsEveryError(t *testing.T) {
	l, err := Decode("f", []byte(twoWorkers))
	if err != nil || len(l) != 2 || l[0].State != dispatch.Ready || l[0].Cell != -1 || l[1].State != dispatch.Draining {
		t.Fatalf("%+v, %v", l, err)
	}
	_, err = Decode("f", []byte("[[worker]]\nname='a'\naddress='x'\nstate='on'\nweight=-1\n[[worker]]\nname='a'\naddress='127.0.0.1:1'\n"))
	if err == nil || strings.Count(err.Error(), "\n") != 3 || !strings.Contains(err.Error(), "f:7: worker[1].name") {
		t.Errorf("got %v, want 4 errors, one of them at f:7: worker[1].name", err)
	}
}

// A file that is replaced by another one is read again. After an invalid file the source is reported as lost and its list does not change.
func TestSource_FollowsFile(t *testing.T) {
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
	write(twoWorkers)
	log := logrus.New()
	log.SetOutput(io.Discard)
	updates := make(chan endpointsource.Update, 16)
	var lost atomic.Int64
	s := &Source{Path: path, Log: log, OnUpdate: func(update endpointsource.Update) { updates <- update }, OnLost: func() { lost.Add(1) }}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	if update := <-updates; !update.Snapshot || len(update.Endpoints) != 2 {
		t.Errorf("initial list: %+v", update)
	}
	write("[[worker]]\nname='c'\naddress='127.0.0.1:3'\n")
	if update := <-updates; len(update.Endpoints) != 1 || update.Endpoints[0].Name != "c" {
		t.Errorf("after a change: %+v", update)
	}
	write("[[worker")
	for lost.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	write(twoWorkers)
	if update := <-updates; len(update.Endpoints) != 2 {
		t.Errorf("after an invalid file: %+v", update)
	}
	stop()
	<-done
	if len(updates) != 0 {
		t.Errorf("%d more lists were delivered", len(updates))
	}
}
