package config

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// Problem is one fault of a file.
type Problem struct {
	File    string
	Field   string
	Found   string
	Allowed string
}

// String returns one line: file, field, what was found and what is allowed.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Field != "" {
		fmt.Fprintf(&b, ": %s", p.Field)
	}
	fmt.Fprintf(&b, ": %s", p.Found)
	if p.Allowed != "" {
		fmt.Fprintf(&b, "; allowed: %s", p.Allowed)
	}
	return b.String()
}

// Problems are all faults of a tree.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Compile checks a service file and returns its service.
func (f *ServiceFile) Compile(name string) (*catalog.Service, Problems) {
	c := compiler{file: name}
	s := &catalog.Service{
		Name:    f.Service,
		Kind:    catalog.Kind(f.Kind),
		Regions: f.Regions,
		Work:    make(map[string]catalog.Work, len(f.Work)),
		Default: f.Default,
		Limits:  catalog.Limits(f.Limits),
	}
	c.check(namePattern.MatchString(f.Service), "service", f.Service, "lower-case letters, digits and dashes")
	c.check(s.Kind == catalog.Model || s.Kind == catalog.Plain, "kind", f.Kind, "model, plain")
	for rank := range catalog.Rank(catalog.RankCount) {
		s.Ranks[rank] = c.rank(rank.String(), f.Ranks)
	}
	sum := s.Ranks[catalog.Urgent].MinShare + s.Ranks[catalog.Batch].MinShare
	c.check(sum <= 1, "ranks", fmt.Sprintf("min_share adds up to %g", sum), "at most 1")
	c.check(len(f.Work) > 0, "work", "no entry", "at least one")
	for key, w := range f.Work {
		s.Work[key] = c.work(key, w, f)
	}
	if _, ok := f.Work[f.Default]; !ok {
		c.check(f.Default == "", "default", f.Default, "a name under work")
	}
	if len(f.Callers) > 0 {
		s.Callers = make(map[string]catalog.Limits, len(f.Callers))
	}
	for caller, limits := range f.Callers {
		s.Callers[caller] = catalog.Limits(limits)
	}
	return s, c.problems
}

type compiler struct {
	file     string
	problems Problems
}

func (c *compiler) check(ok bool, field, found, allowed string) {
	if !ok {
		c.problems = append(c.problems, Problem{File: c.file, Field: field, Found: fmt.Sprintf("found %q", found), Allowed: allowed})
	}
}

func (c *compiler) rank(name string, ranks map[string]RankSection) catalog.RankPolicy {
	section, ok := ranks[name]
	c.check(ok, "ranks."+name, "nothing", "target and deadline")
	policy := catalog.RankPolicy{
		Target:   time.Duration(section.Target),
		Deadline: time.Duration(section.Deadline),
		MinShare: section.MinShare,
	}
	field := "ranks." + name
	c.check(policy.Target > 0 && policy.Target <= catalog.MaxTarget, field+".target", policy.Target.String(), "over 0s, at most "+catalog.MaxTarget.String())
	c.check(policy.Deadline >= policy.Target && policy.Deadline <= catalog.MaxDeadline, field+".deadline", policy.Deadline.String(), "at least the target, at most "+catalog.MaxDeadline.String())
	c.check(policy.MinShare >= 0 && policy.MinShare <= 1, field+".min_share", fmt.Sprint(policy.MinShare), "0 to 1")
	return policy
}

func (c *compiler) work(name string, section WorkSection, f *ServiceFile) catalog.Work {
	field := "work." + name
	c.check(namePattern.MatchString(name), field, name, "lower-case letters, digits and dashes")
	w := catalog.Work{Name: name, Home: section.Home, Repeatable: f.Kind == string(catalog.Model)}
	if err := w.Rank.UnmarshalText([]byte(section.Rank)); err != nil {
		c.check(false, field+".rank", section.Rank, "urgent, batch")
	}
	if section.Repeatable != nil {
		w.Repeatable = *section.Repeatable
	}
	homeOK := section.Home == "" || len(f.Regions) == 0 || slices.Contains(f.Regions, section.Home)
	c.check(homeOK, field+".home", section.Home, "one of regions")
	return w
}

// duplicates reports names that stand in two files.
func (t *Tree) duplicates() Problems {
	var problems Problems
	services := make(map[string]bool, len(t.Services))
	for _, s := range t.Services {
		if services[s.Name] {
			problems = append(problems, Problem{File: FileName, Field: "service", Found: fmt.Sprintf("%q stands in two files", s.Name)})
		}
		services[s.Name] = true
	}
	callers := make(map[string]bool, len(t.Callers))
	for _, c := range t.Callers {
		if callers[c.Name] {
			problems = append(problems, Problem{File: CallersFileName, Field: "name", Found: fmt.Sprintf("%q stands twice", c.Name)})
		}
		callers[c.Name] = true
	}
	return problems
}
