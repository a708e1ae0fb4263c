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

// knownRedFile lists tests that may fail, one a line: "PACKAGE TEST ...".
const knownRedFile = "KNOWN-RED.txt"

// event is a line of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// result counts the tests of a run.
type result struct {
	passed, skipped int
	failed          []string // "PACKAGE TEST"
	brokenPackages  map[string]bool
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
	r, err := read(out)
	if err != nil {
		return err
	}
	testErr := cmd.Wait()
	return judge(r, known, testErr)
}

// read prints failures and package results, and counts the tests.
func read(out io.Reader) (*result, error) {
	r := &result{brokenPackages: make(map[string]bool)}
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
		r.brokenPackages[e.Package] = true
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

// printUnfinished prints what the tests of a failed package wrote that did not
// end, such as the stacks of a test that hung.
func printUnfinished(pkg string, output map[string]*strings.Builder) {
	for key, text := range output {
		if strings.HasPrefix(key, pkg+" ") {
			fmt.Print(text.String())
			delete(output, key)
		}
	}
}

// judge compares the failures with the known ones.
func judge(r *result, known map[string]string, testErr error) error {
	var unknown []string
	for _, key := range r.failed {
		entry, ok := known[key]
		if !ok {
			unknown = append(unknown, key)
			continue
		}
		fmt.Println("known red:", entry)
		delete(r.brokenPackages, strings.Fields(key)[0])
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", r.passed, len(r.failed), r.skipped)
	switch {
	case len(unknown) > 0:
		return fmt.Errorf("failed: %s", strings.Join(unknown, ", "))
	case len(r.brokenPackages) > 0:
		return fmt.Errorf("packages failed outside a test: %v", r.brokenPackages)
	case r.passed == 0:
		return fmt.Errorf("no test ran")
	case testErr != nil && len(r.failed) == 0:
		return testErr
	}
	return nil
}

// knownRed reads the entries of knownRedFile by "PACKAGE TEST". An entry for a
// subtest must name its parents too.
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
