package harness

import (
	"os/exec"
	"runtime"
)

// processStarter starts processes that end with this one, also when it is killed. The kernel ties that
// to the thread that starts them, so one thread starts them all and lives as long as they do.
type processStarter struct {
	commands chan startRequest
}

// startRequest is a command to start, and where to send the result.
type startRequest struct {
	command *exec.Cmd
	started chan error
}

// newProcessStarter starts the thread; close ends it.
func newProcessStarter() *processStarter {
	s := &processStarter{commands: make(chan startRequest)}
	go func() {
		runtime.LockOSThread()
		for r := range s.commands {
			endWithParent(r.command)
			r.started <- r.command.Start()
		}
	}()
	return s
}

// start starts the process of a command.
func (s *processStarter) start(command *exec.Cmd) error {
	r := startRequest{command, make(chan error, 1)}
	s.commands <- r
	return <-r.started
}

// close ends the thread, and with it what it started and still runs.
func (s *processStarter) close() { close(s.commands) }
