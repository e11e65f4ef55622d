package steer

import (
	"cmp"
	"slices"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// changeLog records at which version of the server list each server last changed, so that a follower
// gets only the changes that it lacks.
type changeLog struct {
	servers map[assign.ServerID]assign.Server
	// changedAt has the version of the last change of each server. Its entries for servers that are not in
	// the list are tombstones of removed servers.
	changedAt map[assign.ServerID]uint64
	// compacted is the version below which the log is incomplete, because tombstones have been dropped.
	compacted uint64
}

// maxTombstones bounds the removed servers that the log keeps.
const maxTombstones = 500

func newChangeLog() *changeLog {
	return &changeLog{servers: map[assign.ServerID]assign.Server{}, changedAt: map[assign.ServerID]uint64{}}
}

// replace replaces the list with a newer one, which has the given version.
func (c *changeLog) replace(list []assign.Server, version uint64) {
	next := make(map[assign.ServerID]assign.Server, len(list))
	for _, s := range list {
		next[s.ID] = s
		if old, ok := c.servers[s.ID]; !ok || old != s {
			c.changedAt[s.ID] = version
		}
	}
	for id := range c.servers {
		if _, ok := next[id]; !ok {
			c.changedAt[id] = version
		}
	}
	c.servers = next
	if len(c.changedAt) > len(next)+maxTombstones {
		c.compacted = version
		for id := range c.changedAt {
			if _, ok := next[id]; !ok {
				delete(c.changedAt, id)
			}
		}
	}
}

// covers reports whether since returns all changes after a version.
func (c *changeLog) covers(version uint64) bool { return version >= c.compacted }

// since returns the servers that were added or changed after a version, and the ones that were removed.
func (c *changeLog) since(version uint64) (changed []assign.Server, removed []assign.ServerID) {
	for id, v := range c.changedAt {
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

// applyChanges returns the list with the changes that since returned, sorted by ID.
func applyChanges(list, changed []assign.Server, removed []assign.ServerID) []assign.Server {
	next := slices.DeleteFunc(slices.Clone(list), func(s assign.Server) bool {
		return slices.Contains(removed, s.ID) ||
			slices.ContainsFunc(changed, func(a assign.Server) bool { return a.ID == s.ID })
	})
	next = append(next, changed...)
	slices.SortFunc(next, func(a, b assign.Server) int { return cmp.Compare(a.ID, b.ID) })
	return next
}
