package scene

import (
	"context"
	"os/exec"
	"path/filepath"
)

// Programs are the paths of the built programs.
type Programs struct {
	// Samphiredrum is the entry process.
	Samphiredrum string
	// StandIn is the platform and the backend servers.
	StandIn string
}

// module is where the commands are.
const module = "github.com/samphiredrum/samphiredrum/cmd/"

// Build builds both programs into the folder. Its error is of type ErrBuild and holds what the
// compiler said.
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
