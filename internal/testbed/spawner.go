package testbed

import (
	"os/exec"
	"runtime"
	"syscall"
)

// spawner starts processes from one operating system thread that runs as long as the spawner. The kernel kills the processes
// when that thread ends, even if this program itself is killed. It is safe for concurrent use; closing quit ends it.
type spawner struct {
	requests chan spawnRequest
	quit     chan struct{}
}

type spawnRequest struct {
	cmd    *exec.Cmd
	result chan error
}

func newSpawner() *spawner {
	s := &spawner{requests: make(chan spawnRequest), quit: make(chan struct{})}
	go s.loop()
	return s
}

func (s *spawner) loop() {
	runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
	for {
		select {
		case r := <-s.requests:
			r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			r.result <- r.cmd.Start()
		case <-s.quit:
			return
		}
	}
}

// start starts a command from the spawner's thread.
func (s *spawner) start(cmd *exec.Cmd) error {
	r := spawnRequest{cmd, make(chan error, 1)}
	s.requests <- r
	return <-r.result
}
