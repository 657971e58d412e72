package harness

import (
	"os/exec"
	"syscall"
)

// endWithParent has the kernel kill a command's process when the thread that started it ends.
func endWithParent(command *exec.Cmd) {
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
}
