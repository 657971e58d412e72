package harness

import (
	"os/exec"
	"syscall"
)

// endWithParent makes the kernel kill the process of a command when the thread that started it ends.
func endWithParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
