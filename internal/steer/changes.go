package steer

import (
	"cmp"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// changes remembers at which version of the list each server last changed, so that a follower gets
// only what it lacks.
type changes struct {
	servers map[assign.ServerID]assign.Server
	version map[assign.ServerID]uint64
	// floor is the version before which removed servers are not remembered any more.
	floor uint64
}

// maxRemoved bounds the removed servers that are remembered.
const maxRemoved = 500

func newChanges() *changes {
	return &changes{servers: map[assign.ServerID]assign.Server{}, version: map[assign.ServerID]uint64{}}
}

// update takes over a list with its version.
func (c *changes) update(list []assign.Server, version uint64) {
	next := make(map[assign.ServerID]assign.Server, len(list))
	for _, s := range list {
		next[s.ID] = s
		if old, ok := c.servers[s.ID]; !ok || old != s {
			c.version[s.ID] = version
		}
	}
	for id := range c.servers {
		if _, ok := next[id]; !ok {
			c.version[id] = version
		}
	}
	c.servers = next
	if len(c.version) > len(next)+maxRemoved {
		c.floor = version
		for id := range c.version {
			if _, ok := next[id]; !ok {
				delete(c.version, id)
			}
		}
	}
}

// covers reports whether since tells everything that changed after a version.
func (c *changes) covers(version uint64) bool { return version >= c.floor }

// since returns the servers that changed and those that were removed after a version.
func (c *changes) since(version uint64) (changed []assign.Server, removed []assign.ServerID) {
	for id, v := range c.version {
		if v <= version {
			continue
		}
		if s, ok := c.servers[id]; ok {
			changed = append(changed, s)
		} else {
			removed = append(removed, id)
		}
	}
	return changed, removed
}

// apply returns the list with the changes of since.
func apply(list, changed []assign.Server, removed []assign.ServerID) []assign.Server {
	next := slices.DeleteFunc(slices.Clone(list), func(s assign.Server) bool {
		return slices.Contains(removed, s.ID) ||
			slices.ContainsFunc(changed, func(a assign.Server) bool { return a.ID == s.ID })
	})
	next = append(next, changed...)
	slices.SortFunc(next, func(a, b assign.Server) int { return cmp.Compare(a.ID, b.ID) })
	return next
}
