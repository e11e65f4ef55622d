package dedup

import "github.com/samphiredrum/samphiredrum/pkg/assign"

// Member is a process that shall be a recorder of a bucket.
type Member struct {
	Process     assign.ProcessID
	Incarnation uint64
	// Ready reports that this incarnation said, with Recorder.Ready in the bucket's present
	// generation, that it holds the bucket.
	Ready bool
}

// Reassign returns b with the given members as recorders, for the table of the given version. The
// generation rises. Where no member holds the bucket, the horizon rises to version, except for the
// zero Bucket, which never had recorders: its horizon stays 0, and nothing was forgotten.
func Reassign(b assign.Bucket, version uint64, members []Member) assign.Bucket {
	n := assign.Bucket{Generation: b.Generation + 1, Horizon: b.Horizon, Start: b.Start}
	kept := false
	for _, m := range members {
		joined := n.Generation
		if at, ok := listed(b, m.Process, m.Incarnation); ok && m.Ready {
			joined = b.Joined[at]
			kept = true
		}
		n.Recorders = append(n.Recorders, m.Process)
		n.Incarnations = append(n.Incarnations, m.Incarnation)
		n.Joined = append(n.Joined, joined)
	}
	if !kept {
		if b.Generation > 0 {
			n.Horizon = version
		}
		n.Start = n.Generation
	}
	return n
}

// listed returns the position of a recorder in b.
func listed(b assign.Bucket, p assign.ProcessID, incarnation uint64) (int, bool) {
	for i, r := range b.Recorders {
		if i < len(b.Incarnations) && i < len(b.Joined) && r == p && b.Incarnations[i] == incarnation {
			return i, true
		}
	}
	return 0, false
}
