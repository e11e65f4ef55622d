package store

// revisionBits is the number of bits of a version that hold the revision of the store.
const revisionBits = 44

// NewVersion returns the version of a revision in an era of the store. A store that comes back from an older copy
// begins a new era, in which it gives revisions out again. Versions are ordered by era first, so that a version of a later
// era is higher, whatever its revision.
func NewVersion(era, revision uint64) uint64 { return era<<revisionBits | revision }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version, as the store numbers it in its era.
func RevisionOf(version uint64) uint64 { return version & (1<<revisionBits - 1) }
