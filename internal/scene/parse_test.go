package scene_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/samphiredrum/samphiredrum/internal/scene"
)

// TestParse guards against statements that are parsed as other statements, and against faults in a scenario that
// are accepted or reported without the line and the remedy.
func TestParse(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s, err := scene.Parse("test.scene", d.Input)
			if err != nil {
				return strings.TrimPrefix(err.Error(), "scene.syntax: ") + "\n"
			}
			var b strings.Builder
			for _, statement := range s.Statements {
				fmt.Fprintf(&b, "%T %+v\n", statement, statement)
			}
			return b.String()
		})
	})
}

var _ = Describe("the scenario files", func() {
	// Guards against a scenario of the repository that no longer parses.
	It("parse", func() {
		for _, file := range files() {
			_, err := scene.Load(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})
