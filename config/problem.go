package config

import (
	"fmt"
	"strings"
)

// Position is where a problem stands.
type Position struct {
	File  string
	Line  int    // 0: unknown
	Field string // such as "ranks.urgent.target", or ""
}

// String returns "FILE:LINE: FIELD" without the parts that are unknown.
func (p Position) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	if p.Field != "" {
		b.WriteString(": " + p.Field)
	}
	return b.String()
}

// Problem is one fault of a file.
type Problem struct {
	Position
	Found   string
	Allowed string
}

// String returns one line: file, line, field, what was found and what is
// allowed.
func (p Problem) String() string {
	text := p.Position.String() + ": " + p.Found
	if p.Allowed != "" {
		text += "; allowed: " + p.Allowed
	}
	return text
}

// Problems are all faults of a tree.
type Problems []Problem

// Error implements error.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p[:min(len(p), maxProblems)] {
		lines = append(lines, problem.String())
	}
	if more := len(p) - maxProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(lines, "\n")
}
