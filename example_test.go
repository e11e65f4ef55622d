package samphiredrum_test

import (
	"fmt"
	"os"

	"github.com/samphiredrum/samphiredrum"
)

// Example shows that New refuses invalid settings. The error contains the line and the remedy.
func Example() {
	_, err := samphiredrum.New(samphiredrum.WithSettings("entry-1.ini", "[process]\nname = Entry One\n"))
	_, _ = fmt.Fprintln(os.Stdout, err != nil)
	// Output: true
}
