// Command samphiredrum is an entry process and the tools of its operators.
package main

import (
	"context"
	"os"

	"github.com/samphiredrum/samphiredrum/internal/cmds"
)

func main() {
	os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
