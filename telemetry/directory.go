package telemetry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// maxDirectoryCallers limits the kinds of callers whose responses are compared
// with the previous one, since the names in a query are chosen by its sender.
const maxDirectoryCallers = 1024

// DirectoryResponse describes a response of the directory and what decided it.
type DirectoryResponse struct {
	Host, Region, Zone string             // of the caller's query
	Reason             string             // why these instances were named
	Instances          int                // number of instances named
	Regions            []string           // regions of the instances named
	Misplaced          map[string]float64 // estimated fraction of the host's requests with homes that would be misplaced in each region
	Revision           uint64             // of the configuration in force; 0 if there is none
	StoreOutage        time.Duration      // how long the list of instances has not been updated by the store
}

// sameDecision reports whether two responses to the same query differ neither in
// what they name nor in the reason for it.
func (r *DirectoryResponse) sameDecision(other *DirectoryResponse) bool {
	return r.Reason == other.Reason && r.Instances == other.Instances && slices.Equal(r.Regions, other.Regions)
}

// directoryCaller is a kind of caller: all callers that send the same query.
type directoryCaller struct{ host, region, zone string }

// Directory counts the responses of the directory and logs each response that
// differs from the previous one to the same query. It is safe for concurrent use.
type Directory struct {
	log       *log.Logger
	responses metric.Int64Counter

	mu   sync.Mutex
	last map[directoryCaller]loggedResponse
}

type loggedResponse struct {
	DirectoryResponse
	at time.Time
}

// NewDirectory creates a Directory and registers its instrument.
func NewDirectory(logger *log.Logger, metrics *Metrics) (*Directory, error) {
	responses, err := metrics.Meter().Int64Counter("fuchsia.directory.responses",
		metric.WithDescription("Responses of the directory by the reason why they name these instances."))
	if err != nil {
		return nil, errors.Wrap(err, "create counter of directory responses")
	}
	return &Directory{log: logger, responses: responses, last: make(map[directoryCaller]loggedResponse)}, nil
}

// Responded records a response of the directory.
func (d *Directory) Responded(now time.Time, response DirectoryResponse) {
	d.responses.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", response.Reason)))
	caller := directoryCaller{response.Host, response.Region, response.Zone}
	d.mu.Lock()
	last, known := d.last[caller]
	changed := !known || !last.sameDecision(&response)
	if changed && (known || len(d.last) < maxDirectoryCallers) {
		d.last[caller] = loggedResponse{response, now}
	} else {
		changed = false
	}
	d.mu.Unlock()
	if !changed {
		return
	}
	entry := d.log.Info().Str("event", "directory").Str("host", response.Host).Str("region", response.Region).Str("zone", response.Zone).
		Str("reason", response.Reason).Int("instances", response.Instances).Strs("regions", response.Regions).
		Uint64("revision", response.Revision).Dur("store_outage", response.StoreOutage)
	if len(response.Misplaced) > 0 {
		entry = entry.Any("misplaced", response.Misplaced)
	}
	if known {
		entry = entry.Str("previous_reason", last.Reason).Dur("previous_for", now.Sub(last.at))
	}
	entry.Msg("")
}
