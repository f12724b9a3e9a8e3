//go:build review

package review

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the scripts of the review's cases. Each needs the build of the deploy file and review/build.sh before. It stays
// out of the default run: go test -tags review -count=1 -v ./review
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("*/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Dir(script), func(t *testing.T) {
			cmd := exec.Command("./" + script)
			cmd.Env = os.Environ()
			out, err := cmd.CombinedOutput()
			var ended *exec.ExitError
			switch {
			case err == nil:
			case errors.As(err, &ended) && ended.ExitCode() == 1:
				t.Errorf("the rule was broken:\n%s", out[max(0, len(out)-2000):])
			default:
				t.Fatalf("the case could not run: %v\n%s", err, out[max(0, len(out)-2000):])
			}
		})
	}
}
