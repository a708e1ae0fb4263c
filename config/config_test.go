package config_test

import (
	"strings"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/config"
	"github.com/fuchsiastack/fuchsiastack/configlog"
	"github.com/fuchsiastack/fuchsiastack/examples"
)

const valid = `service: desk
kind: model
regions: [cairo, alex]
ranks:
  urgent: {target: 1.9s, deadline: 30s, min_share: 0.2}
  batch: {target: 60s, deadline: 10m}
work:
  enquiry: {rank: urgent}
  draft:
    rank: batch
    home: cairo
`

func tree(files map[string]string) fstest.MapFS {
	fsys := fstest.MapFS{}
	for name, text := range files {
		fsys[name] = &fstest.MapFile{Data: []byte(text)}
	}
	return fsys
}

func TestExamplesCanBePublishedAndRead(t *testing.T) {
	c := qt.New(t)
	read, err := config.ReadTree(examples.Files)
	c.Assert(err, qt.IsNil)
	entries := read.Entries()
	state := &configlog.State{Revision: 7, Entries: entries, Digest: configlog.DigestOf(entries)}
	snapshot, err := (&config.Builder{}).Build(state)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Revision, qt.Equals, uint64(7))
	service, work, err := snapshot.Resolve("drafting-desk", "ministry-draft")
	c.Assert(err, qt.IsNil)
	c.Assert(work.Home, qt.Equals, "cairo")
	c.Assert(work.Rank, qt.Equals, catalog.Batch)
	c.Assert(service.Permits(work, "alex"), qt.IsFalse)
	caller, ok := snapshot.Authenticate("dojo-one-key")
	c.Assert(ok, qt.IsTrue)
	c.Assert(caller.Name, qt.Equals, "dojo-one")
}

func TestProblemsNameFileLineAndField(t *testing.T) {
	callers := "callers:\n  - {name: a, key_sha256: " + strings.Repeat("0", 64) + "}\n"
	for _, test := range []struct {
		name, from, to, want string
	}{
		{"unknown field", "kind: model", "kind: model\nsped: 3", `desk/fuchsia.yaml:3: unknown field "sped"`},
		{"bad kind", "kind: model", "kind: engine", `desk/fuchsia.yaml:2: kind: found "engine"; allowed: model, plain`},
		{"bad name", "service: desk", "service: Desk", `desk/fuchsia.yaml:1: service: found "Desk"; allowed: 1 to 63 lower-case letters, digits and dashes`},
		{"not a duration", "target: 1.9s", "target: fast", `"fast" is not a duration`},
		{"target zero", "target: 1.9s", "target: 0s", `desk/fuchsia.yaml:5: ranks.urgent.target: found "0s"; allowed: over 0s, at most 10m0s`},
		{"deadline before target", "deadline: 30s", "deadline: 1s", `desk/fuchsia.yaml:5: ranks.urgent.deadline: found "1s"; allowed: at least the target`},
		{"sum of min_share above 1", "deadline: 10m}", "deadline: 10m, min_share: 0.9}", `ranks: found "min_share of all ranks adds up to 1.1"; allowed: at most 1`},
		{"negative min_share", "min_share: 0.2", "min_share: -1", `desk/fuchsia.yaml:5: ranks.urgent.min_share: found "-1"; allowed: 0 to 1`},
		{"unknown rank", "rank: batch", "rank: soon", `desk/fuchsia.yaml:10: work.draft.rank: found "soon"; allowed: urgent, batch`},
		{"home not permitted", "home: cairo", "home: delta", `desk/fuchsia.yaml:11: work.draft.home: found "delta"; allowed: one of cairo, alex`},
		{"missing rank", "  batch: {target: 60s, deadline: 10m}\n", "", `ranks.batch: found "nothing"; allowed: target and deadline`},
		{"unknown default", "kind: model", "kind: model\ndefault: chat", `desk/fuchsia.yaml:3: default: found "chat"; allowed: a name defined under work`},
		{"region twice", "[cairo, alex]", "[cairo, cairo]", `desk/fuchsia.yaml:3: regions[1]: found "cairo"; allowed: each region once`},
		{"negative limit", "kind: model", "kind: model\nlimits: {in_flight: -2}", `desk/fuchsia.yaml:3: limits.in_flight: found "-2"; allowed: 0 to 1048576, 0 for unlimited`},
		{"invalid YAML", "kind: model", "kind: [model", `desk/fuchsia.yaml:`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(valid, test.from, test.to, 1)
			c.Assert(text, qt.Not(qt.Equals), valid)
			_, err := config.ReadTree(tree(map[string]string{"desk/fuchsia.yaml": text, "fuchsia-callers.yaml": callers}))
			c.Assert(err, qt.ErrorMatches, `(?s).*`)
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
}

func TestNamesMustBeUnique(t *testing.T) {
	c := qt.New(t)
	_, err := config.ReadTree(tree(map[string]string{"a/fuchsia.yaml": valid, "b/fuchsia.yaml": valid}))
	c.Assert(err, qt.ErrorMatches, `b/fuchsia.yaml:1: service: service/desk is already defined at a/fuchsia.yaml:1; allowed: one definition in the whole tree`)
}

func TestRegionsMustBeServed(t *testing.T) {
	c := qt.New(t)
	read, err := config.ReadTree(tree(map[string]string{"a/fuchsia.yaml": valid}))
	c.Assert(err, qt.IsNil)
	c.Assert(read.CheckRegions([]string{"alex", "cairo"}), qt.IsNil)
	err = read.CheckRegions([]string{"cairo"})
	c.Assert(err, qt.ErrorMatches, `a/fuchsia.yaml:1: regions, home: no instance serves region "alex"; allowed: cairo`)
}

func TestEmptyTreeIsRefused(t *testing.T) {
	_, err := config.ReadTree(fstest.MapFS{})
	qt.Assert(t, err, qt.ErrorMatches, `no fuchsia.yaml found: nothing to publish`)
}

// FuzzReadTree checks that ReadTree does not panic on any file.
func FuzzReadTree(f *testing.F) {
	f.Add(valid)
	f.Add("service: [")
	f.Add("ranks: {urgent: 3}")
	f.Add("work: {a: {rank: *x}}")
	f.Fuzz(func(_ *testing.T, text string) {
		_, _ = config.ReadTree(tree(map[string]string{"fuchsia.yaml": text, "x/fuchsia-callers.yaml": text}))
	})
}
