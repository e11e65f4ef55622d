package scene

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

// process is one child process. Only the goroutine that runs the scenario starts and ends it.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	group conc.WaitGroup
}

// startProcess starts a program whose output is appended to the file NAME.log in the folder.
func startProcess(folder, name, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, ErrRun.Wrap(err, "name a folder for logs that can be written")
	}
	p := &process{name: name, cmd: exec.Command(program, args...), log: log, ended: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		_ = log.Close()
		return nil, ErrRun.Wrap(err, "check that the program %s was built", program)
	}
	p.group.Go(p.run)
	return p, nil
}

// run waits for the end of the process.
func (p *process) run() {
	// The error is ignored: the scenario kills its processes, so their exit codes carry no information.
	_ = p.cmd.Wait()
	_ = p.log.Close()
	close(p.ended)
}

// alive reports whether the process has not ended.
func (p *process) alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process. Errors are ignored: they mean that the process has ended.
func (p *process) signal(s syscall.Signal) {
	if p.alive() {
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL, which also ends a paused process, and returns the time just before the
// signal.
func (p *process) kill() time.Time {
	at := time.Now()
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.group.Wait()
	return at
}
