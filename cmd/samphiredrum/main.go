// Command samphiredrum runs an entry process and provides the commands for operators.
package main

import (
	"context"
	"os"

	"github.com/samphiredrum/samphiredrum/internal/cmds"
)

func main() {
	os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
