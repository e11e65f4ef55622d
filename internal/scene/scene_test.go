package scene_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/scene"
)

const (
	// folderVariable is the environment variable that names a folder of scenario files to run instead of testdata.
	folderVariable = "SAMPHIREDRUM_SCENARIOS"
	// seed seeds the random choices of the callers in every scenario.
	seed = 1
)

// shortScenarios are the scenarios that run with -short.
var shortScenarios = []string{"01-entry-and-owner-killed", "02-decider-killed"}

func TestScene(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "scene")
}

// files returns the scenario files to run, in order.
func files() []string {
	folder := os.Getenv(folderVariable)
	if folder == "" {
		folder = "testdata"
	}
	found, err := filepath.Glob(filepath.Join(folder, "*.scene"))
	if err != nil || len(found) == 0 {
		panic("there is no file *.scene in " + folder + "; set " + folderVariable + " to a folder that has some")
	}
	slices.Sort(found)
	if os.Getenv(folderVariable) == "" && testing.Short() {
		found = slices.DeleteFunc(found, func(f string) bool {
			return !slices.Contains(shortScenarios, strings.TrimSuffix(filepath.Base(f), ".scene"))
		})
	}
	return found
}

// logWriter writes the events of a scenario to the log of its test.
type logWriter struct{ t *testing.T }

// Write implements io.Writer.
func (l logWriter) Write(text []byte) (int, error) {
	l.t.Log(strings.TrimSpace(string(text)))
	return len(text), nil
}

// TestScenarios runs each scenario file as a separate subtest, so that KNOWN-RED.txt can list single scenarios. The
// first comment of each file says which failure it guards against.
func TestScenarios(t *testing.T) {
	g := NewWithT(t)
	programs, err := scene.Build(t.Context(), t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	for _, file := range files() {
		name := strings.TrimSuffix(filepath.Base(file), ".scene")
		t.Run(name, func(t *testing.T) { runScenario(t, programs, file) })
	}
}

// runScenario runs a scenario. If the scenario fails, the folder with logs, settings and histories is kept.
func runScenario(t *testing.T, programs scene.Programs, file string) {
	g := NewWithT(t)
	s, err := scene.Load(file)
	g.Expect(err).NotTo(HaveOccurred())
	folder, err := os.MkdirTemp("", "scene-"+s.Name+"-")
	g.Expect(err).NotTo(HaveOccurred())
	result, err := scene.Run(t.Context(), s, scene.Options{Programs: programs, Folder: folder, Seed: seed, Out: logWriter{t}})
	if err != nil || len(result.Failures) > 0 {
		t.Logf("logs, settings and histories are kept in %s", folder)
	} else {
		g.Expect(os.RemoveAll(folder)).To(Succeed())
	}
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(result.Failures).To(BeEmpty())
	g.Expect(result.Runs).To(BeNumerically(">", 0))
}
