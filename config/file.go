// Package config reads the operators' service files, checks them, publishes
// them to the store, and loads a published revision into a catalog.Snapshot.
//
// A file stands beside a service's code and is named fuchsia.yaml. It states
// which work is urgent, where data may live, whether calls may be repeated,
// and the limits of callers.
package config

import (
	"bytes"
	"io/fs"
	"path"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// FileName is the name of a service file.
const FileName = "fuchsia.yaml"

// CallersFileName is the name of a file that lists callers.
const CallersFileName = "fuchsia-callers.yaml"

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
}

// RankSection is the policy of a rank. Durations are written as "1.9s".
type RankSection struct {
	Target   Duration `yaml:"target"`
	Deadline Duration `yaml:"deadline"`
	MinShare float64  `yaml:"min_share"`
}

// WorkSection is a kind of work.
type WorkSection struct {
	Rank       string `yaml:"rank"`
	Home       string `yaml:"home"`
	Repeatable *bool  `yaml:"repeatable"`
}

// LimitsSection bounds a caller.
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

// UnmarshalYAML implements yaml.BytesUnmarshaler.
func (d *Duration) UnmarshalYAML(text []byte) error {
	parsed, err := time.ParseDuration(strings.Trim(strings.TrimSpace(string(text)), `"'`))
	if err != nil {
		return errors.Errorf("%q is no duration, want one such as 250ms, 1.9s or 10m", strings.TrimSpace(string(text)))
	}
	*d = Duration(parsed)
	return nil
}

// Tree is the content of all files below a directory.
type Tree struct {
	Services []*catalog.Service
	Callers  []*catalog.Caller
}

// ReadTree reads every service file and callers file below the root of fsys.
// It returns all problems of all files at once.
func ReadTree(fsys fs.FS) (*Tree, error) {
	tree := &Tree{}
	var problems Problems
	walk := func(name string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() {
			return nil
		}
		switch path.Base(name) {
		case FileName:
			problems = append(problems, tree.readService(fsys, name)...)
		case CallersFileName:
			problems = append(problems, tree.readCallers(fsys, name)...)
		}
		return nil
	}
	if err := fs.WalkDir(fsys, ".", walk); err != nil {
		return nil, errors.Wrap(err, "read tree")
	}
	problems = append(problems, tree.duplicates()...)
	if len(problems) > 0 {
		return nil, problems
	}
	return tree, nil
}

func (t *Tree) readService(fsys fs.FS, name string) Problems {
	var file ServiceFile
	if problems := decode(fsys, name, &file); problems != nil {
		return problems
	}
	service, problems := file.Compile(name)
	if len(problems) > 0 {
		return problems
	}
	t.Services = append(t.Services, service)
	return nil
}

func (t *Tree) readCallers(fsys fs.FS, name string) Problems {
	var file CallersFile
	if problems := decode(fsys, name, &file); problems != nil {
		return problems
	}
	for _, c := range file.Callers {
		t.Callers = append(t.Callers, &catalog.Caller{Name: c.Name, KeyDigest: strings.ToLower(c.KeySHA256)})
	}
	return nil
}

func decode(fsys fs.FS, name string, into any) Problems {
	text, err := fs.ReadFile(fsys, name)
	if err != nil {
		return Problems{{File: name, Found: err.Error()}}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(into); err != nil {
		return Problems{{File: name, Found: yaml.FormatError(err, false, false)}}
	}
	return nil
}
