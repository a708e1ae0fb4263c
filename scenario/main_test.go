package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"testing"
)

// TestMain builds the programs, with the race detector if the tests have it, and
// puts them first in PATH.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "fuchsia-scenario")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	args := []string{"build", "-o", dir}
	if raceEnabled {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "../cmd/fuchsiad", "../cmd/fuchsiactl", "../cmd/fuchsia-standin")...)
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
		return 1
	}
	if err := os.Setenv("PATH", dir+string(os.PathListSeparator)+os.Getenv("PATH")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}
