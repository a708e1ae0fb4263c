package config

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

const (
	allowedNames = "1 to 63 lower-case letters, digits and dashes"
	maxRate      = 1e9 // requests or tokens per second
	maxInFlight  = 1 << 20
)

var (
	namePattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// compiler checks the sections of one file, converts them to types of package
// catalog and collects the problems of the file.
type compiler struct {
	doc      *document
	problems Problems
}

// check records a problem at the field with the given path unless ok.
func (c *compiler) check(ok bool, found any, allowed string, fieldPath ...any) {
	if ok {
		return
	}
	c.problems = append(c.problems, Problem{
		Position: c.doc.position(fieldPath...),
		Found:    fmt.Sprintf("found %q", fmt.Sprint(found)),
		Allowed:  allowed,
	})
}

func (c *compiler) checkName(found string, fieldPath ...any) {
	c.check(namePattern.MatchString(found), found, allowedNames, fieldPath...)
}

func (c *compiler) service(f *ServiceFile) *catalog.Service {
	s := &catalog.Service{
		Name:    f.Service,
		Kind:    catalog.Kind(f.Kind),
		Regions: f.Regions,
		Work:    make(map[string]catalog.Work, len(f.Work)),
		Default: f.Default,
		Limits:  c.limits(f.Limits, "limits"),
	}
	c.checkName(f.Service, "service")
	c.check(s.Kind == catalog.Model || s.Kind == catalog.Plain, f.Kind, "model, plain", "kind")
	c.checkRegions(f.Regions)
	c.ranks(f, s)
	c.check(len(f.Work) > 0, "no entry", "at least one", "work")
	for _, key := range slices.Sorted(maps.Keys(f.Work)) {
		s.Work[key] = c.work(key, f)
	}
	_, defined := f.Work[f.Default]
	c.check(defined || f.Default == "", f.Default, "a name defined under work", "default")
	c.callers(f, s)
	s.Engine = c.engine(f)
	return s
}

func (c *compiler) engine(f *ServiceFile) *catalog.EngineState {
	if f.Engine == nil {
		return nil
	}
	c.check(f.Kind == string(catalog.Model), "engine of a plain service", "engine only with kind model", "engine")
	c.check(f.Engine.Model != "", f.Engine.Model, "a name", "engine", "model")
	c.check(f.Engine.Version != "", f.Engine.Version, "a version", "engine", "version")
	for i, adapter := range f.Engine.Adapters {
		c.check(adapter != "" && slices.Index(f.Engine.Adapters, adapter) == i, adapter, "each adapter once", "engine", "adapters", i)
	}
	state := catalog.EngineState(*f.Engine)
	return &state
}

func (c *compiler) checkRegions(regions []string) {
	for i, region := range regions {
		c.checkName(region, "regions", i)
		c.check(slices.Index(regions, region) == i, region, "each region once", "regions", i)
	}
}

func (c *compiler) ranks(f *ServiceFile, s *catalog.Service) {
	for _, name := range slices.Sorted(maps.Keys(f.Ranks)) {
		var rank catalog.Rank
		c.check(rank.UnmarshalText([]byte(name)) == nil, name, "urgent, batch", "ranks", name)
	}
	sum := 0.0
	for rank := range catalog.Rank(catalog.RankCount) {
		s.Ranks[rank] = c.rank(rank.String(), f.Ranks)
		sum += s.Ranks[rank].MinShare
	}
	c.check(sum <= 1, fmt.Sprintf("min_share of all ranks adds up to %g", sum), "at most 1", "ranks")
}

func (c *compiler) rank(name string, ranks map[string]RankSection) catalog.RankPolicy {
	section, ok := ranks[name]
	if !ok {
		c.check(false, "nothing", "target and deadline", "ranks", name)
		return catalog.RankPolicy{}
	}
	policy := catalog.RankPolicy{
		Target:   time.Duration(section.Target),
		Deadline: time.Duration(section.Deadline),
		MinShare: section.MinShare,
	}
	c.check(policy.Target > 0 && policy.Target <= catalog.MaxTarget, policy.Target,
		"over 0s, at most "+catalog.MaxTarget.String(), "ranks", name, "target")
	c.check(policy.Deadline >= policy.Target && policy.Deadline <= catalog.MaxDeadline, policy.Deadline,
		"at least the target, at most "+catalog.MaxDeadline.String(), "ranks", name, "deadline")
	c.check(policy.MinShare >= 0 && policy.MinShare <= 1, policy.MinShare, "0 to 1", "ranks", name, "min_share")
	return policy
}

func (c *compiler) work(name string, f *ServiceFile) catalog.Work {
	section := f.Work[name]
	c.checkName(name, "work", name)
	w := catalog.Work{Name: name, Home: section.Home, Repeatable: f.Kind == string(catalog.Model)}
	c.check(w.Rank.UnmarshalText([]byte(section.Rank)) == nil, section.Rank, "urgent, batch", "work", name, "rank")
	if section.Repeatable != nil {
		w.Repeatable = *section.Repeatable
	}
	if section.Home != "" {
		c.checkName(section.Home, "work", name, "home")
	}
	permitted := section.Home == "" || len(f.Regions) == 0 || slices.Contains(f.Regions, section.Home)
	c.check(permitted, section.Home, "one of "+strings.Join(f.Regions, ", "), "work", name, "home")
	return w
}

func (c *compiler) callers(f *ServiceFile, s *catalog.Service) {
	if len(f.Callers) == 0 {
		return
	}
	s.Callers = make(map[string]catalog.Limits, len(f.Callers))
	for _, name := range slices.Sorted(maps.Keys(f.Callers)) {
		c.checkName(name, "callers", name)
		s.Callers[name] = c.limits(f.Callers[name], "callers", name)
	}
}

func (c *compiler) limits(l LimitsSection, fieldPath ...any) catalog.Limits {
	field := func(name string) []any { return append(slices.Clone(fieldPath), name) }
	allowedRate := "0 to 1000000000, 0 for unlimited"
	c.check(l.RequestsPerSecond >= 0 && l.RequestsPerSecond <= maxRate, l.RequestsPerSecond, allowedRate, field("requests_per_second")...)
	c.check(l.TokensPerSecond >= 0 && l.TokensPerSecond <= maxRate, l.TokensPerSecond, allowedRate, field("tokens_per_second")...)
	c.check(l.InFlight >= 0 && l.InFlight <= maxInFlight, l.InFlight, "0 to 1048576, 0 for unlimited", field("in_flight")...)
	return catalog.Limits(l)
}

func (c *compiler) caller(i int, section CallerSection) *catalog.Caller {
	digest := strings.ToLower(section.KeySHA256)
	c.checkName(section.Name, "callers", i, "name")
	c.check(digestPattern.MatchString(digest), section.KeySHA256, "64 hexadecimal digits, the SHA-256 of the API key", "callers", i, "key_sha256")
	return &catalog.Caller{Name: section.Name, KeyDigest: digest}
}
