package node

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samphiredrum/samphiredrum/internal/store"
	"github.com/samphiredrum/samphiredrum/pkg/assign"
	"github.com/samphiredrum/samphiredrum/pkg/event"
)

// readVMs reads the VM list periodically while this process is the decider.
func (c *control) readVMs(now time.Time) {
	if c.leading == nil || now.Sub(c.leading.vmsReadAt) < vmInterval {
		return
	}
	c.leading.vmsReadAt = now
	c.node.group.Go((&vmsTask{node: c.node}).run)
}

// vmsTask reads the VM list.
type vmsTask struct{ node *Node }

func (t *vmsTask) run() {
	ctx, cancel := context.WithTimeout(t.node.ctx, t.node.settings.Timing.StoreTimeout)
	defer cancel()
	vms, err := t.node.api.VMs(ctx)
	if err != nil {
		return
	}
	t.node.post(vmsRead{vms: vms})
}

// vmsRead updates the backend servers that are leaving. The list is delayed, so a missing VM alone does not
// prove that the server is gone.
func (c *control) vmsRead(m vmsRead) {
	leaving := make(map[assign.ServerID]bool)
	for _, v := range m.vms {
		if v.Role == store.Backend && v.State == store.Leaving {
			leaving[assign.ServerID(v.Name)] = true
		}
	}
	c.setDraining(leaving, c.servers.drainRequested)
}

// setDraining replaces the sets of servers that leave according to the VM list and of servers that operators
// drain. Draining servers of services without owners get no new calls from now on. For the other services,
// the decider moves the keys away.
func (c *control) setDraining(leaving, drainRequested map[assign.ServerID]bool) {
	if maps.Equal(leaving, c.servers.leaving) && maps.Equal(drainRequested, c.servers.drainRequested) {
		return
	}
	c.recordDraining(leaving, c.servers.leaving, "leaving according to the VM list")
	c.recordDraining(drainRequested, c.servers.drainRequested, "requested by an operator")
	c.servers.leaving, c.servers.drainRequested = leaving, drainRequested
	c.servers.updateDraining()
	c.updateServerList()
	c.triggerHeartbeat()
}

func (c *control) recordDraining(next, before map[assign.ServerID]bool, reason string) {
	for id := range next {
		if !before[id] {
			c.recordEvent(event.Event{Kind: event.Drain, Server: id, Detail: reason})
		}
	}
}

// sortedIDs returns the members of a set in sorted order, for messages.
func sortedIDs(set map[assign.ServerID]bool) []assign.ServerID {
	return slices.Sorted(maps.Keys(set))
}

// toSet returns the set of the server IDs in a message.
func toSet(list []assign.ServerID) map[assign.ServerID]bool {
	set := make(map[assign.ServerID]bool, len(list))
	for _, id := range list {
		set[id] = true
	}
	return set
}

// drainServer handles an operator's request to drain a server or to cancel its drain.
func (c *control) drainServer(m drainServer) {
	if c.leading == nil || c.servers.get(m.server) == nil {
		m.reply <- false
		return
	}
	drainRequested := maps.Clone(c.servers.drainRequested)
	if m.cancel {
		delete(drainRequested, m.server)
	} else {
		drainRequested[m.server] = true
	}
	c.setDraining(c.servers.leaving, drainRequested)
	m.reply <- true
}

// finishDrain completes a planned stop once no bucket and no term depends on this process.
func (c *control) finishDrain() {
	if c.drainDone == nil || c.node.recorder.isRecorder() && len(c.senders) > 0 && c.serving {
		return
	}
	if c.leading != nil {
		c.resign()
	}
	close(c.drainDone)
	c.drainDone = nil
}
