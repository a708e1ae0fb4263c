// Command citest runs "go test -race" over the module. Tests listed in
// KNOWN-RED.txt may fail and are printed; any other failure is an error.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// knownRedFile lists tests that may fail, one per line: "PACKAGE TEST ...".
const knownRedFile = "KNOWN-RED.txt"

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// result holds the results of a test run.
type result struct {
	passed, skipped int
	failed          []string // "PACKAGE TEST"
	failedPackages  map[string]bool
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "citest:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	known, err := knownRed()
	if err != nil {
		return err
	}
	cmd := exec.Command("go", append([]string{"test", "-json", "-race", "-count=1", "-timeout=14m", "./..."}, args...)...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	r, err := readEvents(out)
	if err != nil {
		return err
	}
	testErr := cmd.Wait()
	return checkResult(r, known, testErr)
}

// readEvents prints the output of failed tests and of packages, and counts the
// tests.
func readEvents(out io.Reader) (*result, error) {
	r := &result{failedPackages: make(map[string]bool)}
	output := make(map[string]*strings.Builder)
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		r.add(e, output)
	}
	return r, scanner.Err()
}

func (r *result) add(e event, output map[string]*strings.Builder) {
	key := e.Package + " " + e.Test
	switch {
	case e.Action == "output" || e.Action == "build-output":
		if output[key] == nil {
			output[key] = &strings.Builder{}
		}
		output[key].WriteString(e.Output)
		return
	case e.Test == "" && e.Action == "fail":
		r.failedPackages[e.Package] = true
	case e.Test == "":
	case e.Action == "pass":
		r.passed++
	case e.Action == "skip":
		r.skipped++
	case e.Action == "fail":
		r.failed = append(r.failed, key)
	}
	finished := e.Action == "fail" || e.Test == "" && e.Action == "pass"
	if text := output[key]; finished && text != nil {
		fmt.Print(text.String())
	}
	if e.Action == "pass" || e.Action == "fail" || e.Action == "skip" {
		delete(output, key)
	}
	if e.Test == "" && e.Action == "fail" {
		printUnfinished(e.Package, output)
	}
}

// printUnfinished prints the output of the tests of a failed package that did not
// finish, such as the stack traces of a test that hung.
func printUnfinished(pkg string, output map[string]*strings.Builder) {
	for key, text := range output {
		if strings.HasPrefix(key, pkg+" ") {
			fmt.Print(text.String())
			delete(output, key)
		}
	}
}

// checkResult returns an error unless all failures are listed in knownRedFile and
// at least one test passed.
func checkResult(r *result, known map[string]string, testErr error) error {
	var unexpected []string
	for _, key := range r.failed {
		entry, ok := known[key]
		if !ok {
			unexpected = append(unexpected, key)
			continue
		}
		fmt.Println("known red:", entry)
		delete(r.failedPackages, strings.Fields(key)[0])
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	switch {
	case len(unexpected) > 0:
		return fmt.Errorf("failed: %s", strings.Join(unexpected, ", "))
	case len(r.failedPackages) > 0:
		return fmt.Errorf("packages failed outside a test: %v", r.failedPackages)
	case r.passed == 0:
		return fmt.Errorf("no test ran")
	case testErr != nil && len(r.failed) == 0:
		return testErr
	}
	return nil
}

// knownRed returns the lines of knownRedFile by their first two fields, "PACKAGE
// TEST". If a subtest fails its parents fail too, so that each needs a line.
func knownRed() (map[string]string, error) {
	known := make(map[string]string)
	text, err := os.ReadFile(knownRedFile)
	if os.IsNotExist(err) {
		return known, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) < 2 || strings.HasPrefix(line, "#") {
			continue
		}
		known[fields[0]+" "+fields[1]] = line
	}
	return known, nil
}
