package cmds_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/cmds"
)

// commandVariable makes the test program run a command of samphiredrum instead of the tests.
const commandVariable = "SAMPHIREDRUM_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(commandVariable) != "" {
		os.Exit(cmds.Execute(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

var _ = Describe("a process that starts", func() {
	// Guards against a process that is ended by SIGHUP, which the platform sends whenever the settings change, before it
	// has read its settings.
	It("is not ended by SIGHUP", func() {
		// A named pipe holds the process while it reads its settings.
		path := filepath.Join(GinkgoT().TempDir(), "settings.yaml")
		Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
		c := exec.Command(os.Args[0], "entry", path)
		c.Env = append(os.Environ(), commandVariable+"=1")
		Expect(c.Start()).To(Succeed())
		// Opening the pipe waits until the process reads it.
		pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Process.Signal(syscall.SIGHUP)).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		_, err = pipe.WriteString("ip: nowhere\n")
		Expect(err).NotTo(HaveOccurred())
		Expect(pipe.Close()).To(Succeed())
		Expect(c.Wait()).NotTo(Succeed())
		Expect(c.ProcessState.ExitCode()).To(Equal(cmds.ExitFailed), "ended by a signal: %v", c.ProcessState)
	})
})
