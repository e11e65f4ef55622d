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

// readVMs reads the list of VMs while this process is the decider.
func (c *control) readVMs(now time.Time) {
	if c.leading == nil || now.Sub(c.leading.vmsAt) < vmInterval {
		return
	}
	c.leading.vmsAt = now
	c.node.group.Go((&vmsTask{node: c.node}).run)
}

// vmsTask reads the list of VMs.
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

// vmsRead takes over which backend servers are leaving. The list lags, so a missing VM is no proof
// by itself.
func (c *control) vmsRead(m vmsRead) {
	leaving := make(map[assign.ServerID]bool)
	for _, v := range m.vms {
		if v.Role == store.Backend && v.State == store.Leaving {
			leaving[assign.ServerID(v.Name)] = true
		}
	}
	c.setDraining(leaving, c.servers.ordered)
}

// setDraining takes over the servers that leave by the list of VMs and those that operators drain.
// Servers of services without owners get no new call from now on; the decider moves the keys of the
// others.
func (c *control) setDraining(leaving, ordered map[assign.ServerID]bool) {
	if maps.Equal(leaving, c.servers.leaving) && maps.Equal(ordered, c.servers.ordered) {
		return
	}
	c.noteDraining(leaving, c.servers.leaving, "leaving by the list of VMs")
	c.noteDraining(ordered, c.servers.ordered, "ordered by an operator")
	c.servers.leaving, c.servers.ordered = leaving, ordered
	c.servers.refresh()
	c.listServers()
	c.beatNow()
}

func (c *control) noteDraining(next, before map[assign.ServerID]bool, why string) {
	for id := range next {
		if !before[id] {
			c.note(event.Event{Kind: event.Drain, Server: id, Detail: why})
		}
	}
}

// names returns the members of a set in order, for messages.
func names(set map[assign.ServerID]bool) []assign.ServerID {
	return slices.Sorted(maps.Keys(set))
}

// setOf returns the set of the names in a message.
func setOf(list []assign.ServerID) map[assign.ServerID]bool {
	set := make(map[assign.ServerID]bool, len(list))
	for _, id := range list {
		set[id] = true
	}
	return set
}

// drainServer takes an operator's request.
func (c *control) drainServer(m drainServer) {
	if c.leading == nil || c.servers.get(m.server) == nil {
		m.reply <- false
		return
	}
	ordered := maps.Clone(c.servers.ordered)
	if m.cancel {
		delete(ordered, m.server)
	} else {
		ordered[m.server] = true
	}
	c.setDraining(c.servers.leaving, ordered)
	m.reply <- true
}

// finishDrain ends a planned stop once no bucket and no term depends on this process.
func (c *control) finishDrain() {
	if c.drained == nil || c.node.recorder.listed() && len(c.peers) > 0 && c.serving {
		return
	}
	if c.leading != nil {
		c.release()
	}
	close(c.drained)
	c.drained = nil
}
