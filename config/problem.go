package config

import (
	"fmt"
	"strings"
)

// Position locates a Problem.
type Position struct {
	File  string
	Line  int    // 0: unknown
	Field string // such as "ranks.urgent.target", or ""
}

// String returns "FILE:LINE: FIELD" and omits the unknown parts.
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

// Problem is one error in a configuration file.
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

// Problems holds all errors of a tree.
type Problems []Problem

// Error implements error. It returns one line for each problem, and the number
// of problems beyond maxProblems.
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
