package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"github.com/fuchsiastack/fuchsiastack/daemon"
)

// explainTimeout bounds the question to one instance.
const explainTimeout = 5 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "tell why a request went where it did",
		ArgsUsage: "REQUEST-ID",
		Description: "Asks the admin listeners of instances for the decisions about a request. " +
			"An instance keeps its last 16384 log lines.",
		Flags: []cli.Flag{&cli.StringSliceFlag{
			Name: "admin-url", Usage: "base URL of an instance's admin listener; may be given more than once",
			Sources: cli.EnvVars("FUCHSIA_ADMIN_URL"), Required: true,
		}},
		Action: explain,
	}
}

func explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return errors.New("want one argument: the request id, from the header X-Request-Id of the answer")
	}
	found := false
	for _, base := range cmd.StringSlice("admin-url") {
		lines, err := linesOf(ctx, base, cmd.Args().First())
		if err != nil {
			return errors.Wrap(err, base)
		}
		for _, line := range lines {
			fmt.Fprintf(cmd.Root().Writer, "%s  %s\n", base, describe(line))
			found = true
		}
	}
	if !found {
		return errors.New("no instance that was asked remembers the request")
	}
	return nil
}

// linesOf returns what an instance logged about a request.
func linesOf(ctx context.Context, base, id string) ([]map[string]any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := strings.TrimSuffix(base, "/") + daemon.ExplainPath + "?" + url.Values{"request_id": {id}}.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", resp.StatusCode)
	}
	return decodeLines(resp.Body)
}

func decodeLines(r io.Reader) ([]map[string]any, error) {
	var lines []map[string]any
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var line map[string]any
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrap(err, "decode line")
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// describe formats a log line: time, event and the other fields by name.
func describe(line map[string]any) string {
	var fields []string
	for name, value := range line {
		if !slices.Contains([]string{"time", "event", "level", "request_id"}, name) && value != "" && value != nil {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(fields)
	return fmt.Sprintf("%v %-8v %s", line["time"], line["event"], strings.Join(fields, " "))
}
