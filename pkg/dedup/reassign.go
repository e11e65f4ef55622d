package dedup

import "github.com/samphiredrum/samphiredrum/pkg/assign"

// Member is a process that is to be a recorder of a bucket.
type Member struct {
	Process     assign.ProcessID
	Incarnation uint64
	// Ready reports that this incarnation holds the bucket: Recorder.Ready listed it in the
	// bucket's current generation.
	Ready bool
}

// Reassign returns b with the given members as recorders, for the table of the given version. The
// generation rises. If no member holds the bucket, the horizon rises to version, except for the
// zero Bucket, which never had recorders: its horizon stays 0, because no identifiers were lost.
func Reassign(b assign.Bucket, version uint64, members []Member) assign.Bucket {
	next := assign.Bucket{Generation: b.Generation + 1, Horizon: b.Horizon, Start: b.Start}
	survived := false
	for _, m := range members {
		joined := next.Generation
		if index, ok := listed(b, m.Process, m.Incarnation); ok && m.Ready {
			joined = b.Joined[index]
			survived = true
		}
		next.Recorders = append(next.Recorders, m.Process)
		next.Incarnations = append(next.Incarnations, m.Incarnation)
		next.Joined = append(next.Joined, joined)
	}
	if !survived {
		if b.Generation > 0 {
			next.Horizon = version
		}
		next.Start = next.Generation
	}
	return next
}

// listed returns the position in b of a recorder with this incarnation.
func listed(b assign.Bucket, p assign.ProcessID, incarnation uint64) (int, bool) {
	for i, r := range b.Recorders {
		if i < len(b.Incarnations) && i < len(b.Joined) && r == p && b.Incarnations[i] == incarnation {
			return i, true
		}
	}
	return 0, false
}
