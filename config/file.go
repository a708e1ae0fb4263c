// Package config reads and checks the operators' service files, converts them to
// the entries that package configlog publishes, and builds a catalog.Snapshot
// from such entries.
//
// A service file is stored next to the code of its service and is named
// fuchsia.yaml. It defines which work is urgent, in which regions data may be
// processed, whether requests may be repeated, and the limits of callers. A file
// named fuchsia-callers.yaml lists callers.
package config

import (
	"time"

	"github.com/go-faster/errors"
)

// Names of the files that ReadTree reads.
const (
	FileName        = "fuchsia.yaml"
	CallersFileName = "fuchsia-callers.yaml"
)

// ServiceFile is the content of a service file.
type ServiceFile struct {
	Service string                   `yaml:"service"`
	Kind    string                   `yaml:"kind"`
	Regions []string                 `yaml:"regions"`
	Ranks   map[string]RankSection   `yaml:"ranks"`
	Work    map[string]WorkSection   `yaml:"work"`
	Default string                   `yaml:"default"`
	Limits  LimitsSection            `yaml:"limits"`
	Callers map[string]LimitsSection `yaml:"callers"`
	Engine  *EngineSection           `yaml:"engine"`
}

// EngineSection is the desired state of the engines of a model service.
type EngineSection struct {
	Model    string   `yaml:"model"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters"`
	Role     string   `yaml:"role"`
}

// RankSection is the policy of a rank. Durations are written as "1.9s".
type RankSection struct {
	Target   Duration `yaml:"target"`
	Deadline Duration `yaml:"deadline"`
	MinShare float64  `yaml:"min_share"`
}

// WorkSection is a kind of work of a service.
type WorkSection struct {
	Rank       string `yaml:"rank"`
	Home       string `yaml:"home"`
	Repeatable *bool  `yaml:"repeatable"` // default: true for models, false for plain services
}

// LimitsSection holds the limits of a caller. Zero means unlimited.
type LimitsSection struct {
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	TokensPerSecond   float64 `yaml:"tokens_per_second"`
	InFlight          int     `yaml:"in_flight"`
}

// CallersFile is the content of a callers file.
type CallersFile struct {
	Callers []CallerSection `yaml:"callers"`
}

// CallerSection is a caller. Only the SHA-256 of its API key is published.
type CallerSection struct {
	Name      string `yaml:"name"`
	KeySHA256 string `yaml:"key_sha256"`
}

// Duration is a time.Duration written as "250ms" or "2m".
type Duration time.Duration

// UnmarshalYAML implements yaml.InterfaceUnmarshaler.
func (d *Duration) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration such as 250ms, 1.9s or 10m", text)
	}
	*d = Duration(parsed)
	return nil
}
