package scene_test

import (
	"context"
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
	// folderVariable names a folder of scenario files that are run in place of those of testdata.
	folderVariable = "SAMPHIREDRUM_SCENARIOS"
	// seed determines the calls of every scenario.
	seed = 1
)

// shortScenarios are the ones that run with -short.
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

var _ = Describe("scenarios", Ordered, ContinueOnFailure, func() {
	var programs scene.Programs

	BeforeAll(func(ctx context.Context) {
		var err error
		programs, err = scene.Build(ctx, GinkgoT().TempDir())
		Expect(err).NotTo(HaveOccurred())
	})

	for _, file := range files() {
		name := filepath.Base(file)

		// Each guards against what its first comment says.
		It("holds in "+name, func(ctx context.Context) {
			s, err := scene.Load(file)
			Expect(err).NotTo(HaveOccurred())
			folder, err := os.MkdirTemp("", "scene-"+s.Name+"-")
			Expect(err).NotTo(HaveOccurred())
			result, err := scene.Run(ctx, s, scene.Options{Programs: programs, Folder: folder, Seed: seed, Out: GinkgoWriter})
			if err != nil || len(result.Failures) > 0 {
				AddReportEntry("logs, settings and histories are kept in " + folder)
			} else {
				Expect(os.RemoveAll(folder)).To(Succeed())
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(result.Failures).To(BeEmpty())
			Expect(result.Runs).To(BeNumerically(">", 0))
		})
	}
})
