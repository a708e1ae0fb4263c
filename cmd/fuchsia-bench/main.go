// Command fuchsia-bench compares the gateway's routing, admission and retry
// decisions with simple baseline policies in virtual time. It prints a table for
// each run.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/internal/climain"
	"github.com/fuchsiastack/fuchsiastack/policybench"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// all is the flag value that selects every setup, run or policy.
const all = "all"

func main() { climain.Run(command()) }

func command() *cli.Command {
	return &cli.Command{
		Name:  "fuchsia-bench",
		Usage: "compare the gateway's decisions with baseline policies in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "setup", Usage: "swatch, registry or all", Value: all},
			&cli.StringFlag{Name: "run", Usage: "name of a run, or all", Value: all},
			&cli.StringFlag{Name: "policy", Usage: "name of a policy, or all", Value: all},
			&cli.Uint64Flag{Name: "seed", Usage: "random seed of the workload and the policies", Value: 1},
			&cli.DurationFlag{Name: "horizon", Usage: "virtual time in which requests arrive; also the length of the simulated day", Value: 20 * time.Minute},
			&cli.BoolFlag{Name: "json", Usage: "print JSON instead of tables"},
		},
		Action: measure,
	}
}

func measure(_ context.Context, cmd *cli.Command) error {
	setups := selectByName(workload.Setups(), cmd.String("setup"), func(s *workload.Setup) string { return s.Name })
	runs := selectByName(policybench.Runs(), cmd.String("run"), func(r policybench.Run) string { return r.Name })
	policies := selectByName(policybench.PolicyNames(), cmd.String("policy"), func(name string) string { return name })
	if len(setups) == 0 || len(runs) == 0 || len(policies) == 0 {
		return errors.Errorf("unknown setup %q, run %q or policy %q", cmd.String("setup"), cmd.String("run"), cmd.String("policy"))
	}
	var reports []*policybench.Report
	for _, setup := range setups {
		bench := policybench.New(setup, cmd.Duration("horizon"), cmd.Uint64("seed"))
		for _, run := range runs {
			runReports, err := measureRun(bench, run, policies)
			if err != nil {
				return err
			}
			reports = append(reports, runReports...)
			if !cmd.Bool("json") {
				if err := printTable(cmd.Root().Writer, run, runReports); err != nil {
					return err
				}
			}
		}
	}
	if cmd.Bool("json") {
		encoder := json.NewEncoder(cmd.Root().Writer)
		encoder.SetIndent("", "  ")
		return encoder.Encode(reports)
	}
	return nil
}

func measureRun(bench *policybench.Bench, run policybench.Run, policies []string) ([]*policybench.Report, error) {
	reports := make([]*policybench.Report, len(policies))
	for i, name := range policies {
		report, err := bench.Measure(run, name)
		if err != nil {
			return nil, err
		}
		reports[i] = report
	}
	return reports, nil
}

func printTable(w io.Writer, run policybench.Run, reports []*policybench.Report) error {
	fmt.Fprintf(w, "%s: %s\n", run.Name, run.Description)
	if err := policybench.WriteTable(w, reports); err != nil {
		return err
	}
	fmt.Fprintln(w)
	return nil
}

func selectByName[T any](list []T, name string, nameOf func(T) string) []T {
	if name == all {
		return list
	}
	for _, item := range list {
		if nameOf(item) == name {
			return []T{item}
		}
	}
	return nil
}
