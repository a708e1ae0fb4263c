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

// explainTimeout limits the query to one instance.
const explainTimeout = 5 * time.Second

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show the decisions that were logged for a request",
		ArgsUsage: "REQUEST-ID",
		Description: "Queries the admin listeners of the given instances for the log lines of a request. " +
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
		return errors.New("want one argument: the request ID from the response header X-Request-Id")
	}
	found := false
	for _, adminURL := range cmd.StringSlice("admin-url") {
		lines, err := fetchLogLines(ctx, adminURL, cmd.Args().First())
		if err != nil {
			return errors.Wrapf(err, "query admin listener %s", adminURL)
		}
		for _, line := range lines {
			fmt.Fprintf(cmd.Root().Writer, "%s  %s\n", adminURL, formatLogLine(line))
			found = true
		}
	}
	if !found {
		return errors.Errorf("no queried instance has log lines of request %s", cmd.Args().First())
	}
	return nil
}

// fetchLogLines returns the log lines of a request that the instance at adminURL
// still keeps.
func fetchLogLines(ctx context.Context, adminURL, requestID string) ([]map[string]any, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	target := strings.TrimSuffix(adminURL, "/") + daemon.ExplainPath + "?" + url.Values{"request_id": {requestID}}.Encode()
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
		return nil, errors.Errorf("fetch log lines of request %s: status %d", requestID, resp.StatusCode)
	}
	return decodeLines(resp.Body)
}

func decodeLines(r io.Reader) ([]map[string]any, error) {
	var lines []map[string]any
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		var line map[string]any
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return nil, errors.Wrap(err, "decode log line")
		}
		lines = append(lines, line)
	}
	return lines, scanner.Err()
}

// formatLogLine formats a log line: time, event, then the other non-empty fields
// sorted by name.
func formatLogLine(line map[string]any) string {
	var fields []string
	for name, value := range line {
		if !slices.Contains([]string{"time", "event", "level", "request_id"}, name) && value != "" && value != nil {
			fields = append(fields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	slices.Sort(fields)
	return fmt.Sprintf("%v %-8v %s", line["time"], line["event"], strings.Join(fields, " "))
}
