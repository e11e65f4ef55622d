package soak_test

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	callersPort = 17641
	readyPort   = 17640
	firstPort   = 17620
	// stopTime is the time from SIGTERM to the end of a process.
	stopTime = 6 * time.Second
	// restartTime is the time from the end of a process to its next start.
	restartTime = 300 * time.Millisecond
)

// entry is one VM with an entry process that is started again whenever it ends.
type entry struct {
	name, address string
	settings      string
	log           *os.File
	program       string
	store         *proxy
	group         conc.WaitGroup
	mu            sync.Mutex
	life          *life
	closing       bool
	failures      []string
	// misses counts the readiness checks in a row without a 200.
	misses int
}

// life is one run of an entry process.
type life struct {
	command *exec.Cmd
	// disturbed reports that the process was killed or paused.
	disturbed bool
	// stopping is when SIGTERM was sent, the zero time where it was not.
	stopping time.Time
}

const settingsText = `nodeName: %q
ip: %q
zone: "a"
listen: {front: "%s:%d", readyAddr: "%s:%d"}
portRange: [%d, %d]
heartbeatS: 1
limits: {cpuShare: 1, cores: 1}
platform: {address: %q}
bounds: {drainS: 2, graceS: %g, maxHoldS: 10, retryBudgetRatio: 0.2, budgetSlack: 60, budgetWindowS: 10}
`

func newEntry(folder, program string, number int, store *proxy) (*entry, error) {
	e := &entry{
		name: fmt.Sprintf("entry-%d", number), program: program, store: store,
		// An address of its own lets every process use the same ports.
		address: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, number/200, 1+number%200),
	}
	e.settings = filepath.Join(folder, e.name+".yaml")
	text := fmt.Sprintf(settingsText, e.name, e.address, e.address, callersPort, e.address, readyPort,
		firstPort, firstPort+1, store.address(), stopTime.Seconds())
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	var err error
	if e.log, err = os.Create(filepath.Join(folder, e.name+".log")); err != nil {
		return nil, err
	}
	if err := e.start(); err != nil {
		return nil, err
	}
	e.group.Go(e.run)
	return e, nil
}

func (e *entry) start() error {
	c := exec.Command(e.program, "entry", e.settings)
	c.Stdout, c.Stderr = e.log, e.log
	c.Env = append(os.Environ(), "GOMAXPROCS=1")
	if err := c.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.life = &life{command: c}
	return nil
}

// run starts the process again whenever it ends.
func (e *entry) run() {
	for {
		l := e.current()
		err := l.command.Wait()
		e.mu.Lock()
		closing := e.closing
		if err != nil && !l.disturbed {
			e.failures = append(e.failures, fmt.Sprintf("%s ended by itself: %v", e.name, err))
		}
		e.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(restartTime)
		if err := e.start(); err != nil {
			e.mu.Lock()
			e.failures = append(e.failures, err.Error())
			e.mu.Unlock()
			return
		}
	}
}

func (e *entry) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// signal sends a signal to the process. One that has ended already gets none.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch s {
	case syscall.SIGKILL, syscall.SIGSTOP:
		e.life.disturbed = true
	case syscall.SIGTERM:
		e.life.stopping = time.Now()
	}
	_ = e.life.command.Process.Signal(s)
}

// stop ends the VM by a planned stop and reports whether the process ended in time.
func (e *entry) stop() bool {
	e.mu.Lock()
	e.closing = true
	e.mu.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGTERM)
	ended := make(chan struct{})
	kill := time.AfterFunc(2*stopTime, func() {
		e.signal(syscall.SIGKILL)
		close(ended)
	})
	e.group.Wait()
	e.log.Close()
	return kill.Stop()
}

// ready asks the process whether it is ready, as the balancer does.
func (e *entry) ready(c *http.Client) {
	response, err := c.Get(fmt.Sprintf("http://%s:%d/-/readyz", e.address, readyPort))
	good := err == nil && response.StatusCode == http.StatusOK
	if err == nil {
		response.Body.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.misses++
	if good {
		e.misses = 0
	}
}

func (e *entry) inRotation() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.misses < 2
}
