package steer

import (
	"fmt"
	"runtime/debug"
)

// guard runs a task of a Control. If the task panics, the state of the Control is unknown, and Control.Failed reports that. A
// control goroutine that has ended sends no more orders.
type guard struct {
	control *Control
	task    func()
}

func (g guard) run() {
	defer g.catch()
	g.task()
}

func (g guard) catch() {
	cause := recover()
	if cause == nil {
		return
	}
	c := g.control
	c.leadUntil.Store(0)
	c.options.Log.Error().Str("cause", fmt.Sprint(cause)).Str("stack", string(debug.Stack())).Msg("control-failed")
	c.failOnce.Do(func() { close(c.failed) })
}

// start runs a task in a goroutine of its own.
func (c *Control) start(task func()) { c.group.Go(guard{c, task}.run) }

// Failed is closed when the control plane has ended because of an error in the program. The process must be restarted, since
// it learns of no change any more.
func (c *Control) Failed() <-chan struct{} { return c.failed }
