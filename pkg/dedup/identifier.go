package dedup

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/samphiredrum/samphiredrum/pkg/assign"
)

// issuedPrefix marks identifiers issued by this system. An identifier with this prefix that does not
// parse is treated as one that the caller chose.
const issuedPrefix = "sd1."

// Issued is an identifier issued by this system.
type Issued struct {
	// Version is the table version at issue.
	Version uint64
	// Process issued the identifier.
	Process assign.ProcessID
	// Random makes the identifier unique.
	Random [16]byte
}

// Issue returns a new identifier. The version is the current table version of the issuing process,
// and random comes from a cryptographic source.
func Issue(version uint64, process assign.ProcessID, random [16]byte) string {
	return fmt.Sprintf("%s%x.%x.%s", issuedPrefix, version, random, process)
}

// Parse returns the parts of an identifier issued by this system. It reports false for any other
// identifier, including one that Issue would have written differently.
func Parse(identifier string) (Issued, bool) {
	rest, ok := strings.CutPrefix(identifier, issuedPrefix)
	if !ok {
		return Issued{}, false
	}
	parts := strings.SplitN(rest, ".", 3)
	if len(parts) != 3 || len(parts[1]) != 32 {
		return Issued{}, false
	}
	version, err := strconv.ParseUint(parts[0], 16, 64)
	if err != nil {
		return Issued{}, false
	}
	i := Issued{Version: version, Process: assign.ProcessID(parts[2])}
	for index := range i.Random {
		b, err := strconv.ParseUint(parts[1][2*index:2*index+2], 16, 8)
		if err != nil {
			return Issued{}, false
		}
		i.Random[index] = byte(b)
	}
	return i, Issue(i.Version, i.Process, i.Random) == identifier
}
