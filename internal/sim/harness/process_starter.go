package harness

import (
	"os/exec"
	"runtime"
)

// processStarter starts processes that, on Linux, the kernel kills when this process ends, even if it is killed itself.
// The kernel ties this to the thread that starts a process, so a single thread starts all processes and lives as long
// as they do.
type processStarter struct {
	commands chan startRequest
}

// startRequest is a command to start, and the channel for the result.
type startRequest struct {
	command *exec.Cmd
	result  chan error
}

// newProcessStarter starts the thread, which close ends.
func newProcessStarter() *processStarter {
	s := &processStarter{commands: make(chan startRequest)}
	go func() {
		runtime.LockOSThread()
		for r := range s.commands {
			endWithParent(r.command)
			r.result <- r.command.Start()
		}
	}()
	return s
}

// start starts the process of a command.
func (s *processStarter) start(command *exec.Cmd) error {
	r := startRequest{command, make(chan error, 1)}
	s.commands <- r
	return <-r.result
}

// close ends the thread. On Linux, the kernel then kills all processes that the thread started and that still run.
func (s *processStarter) close() { close(s.commands) }
