package scene

import (
	"context"
	"os/exec"
	"path/filepath"
)

// Programs holds the paths of the built programs.
type Programs struct {
	// Samphiredrum is the program of the entry processes.
	Samphiredrum string
	// StandIn is the program that simulates the platform and the backend servers.
	StandIn string
}

// module is the import path of the folder that contains the commands.
const module = "github.com/samphiredrum/samphiredrum/cmd/"

// Build builds both programs into the folder. Its error is of type ErrBuild and contains the output of the
// compiler.
func Build(ctx context.Context, folder string) (Programs, error) {
	p := Programs{
		Samphiredrum: filepath.Join(folder, "samphiredrum"),
		StandIn:      filepath.Join(folder, "standin"),
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", folder, module+"samphiredrum", module+"standin")
	if out, err := command.CombinedOutput(); err != nil {
		return Programs{}, ErrBuild.Wrap(err, "fix what the compiler reports: %s", out)
	}
	return p, nil
}
