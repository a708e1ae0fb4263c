package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/configlog"
)

// Bounds of a tree.
const (
	maxFileBytes = 256 << 10
	maxProblems  = 100 // Problems.Error counts further problems but does not list them
)

// Tree is the configuration read from all files below a directory.
type Tree struct {
	Services []*catalog.Service
	Callers  []*catalog.Caller

	positions map[string]Position // of each definition; keys such as "service/drafting-desk"
}

// ReadTree reads every service file and callers file below the root of fsys.
// If any file has problems, it returns the problems of all files, as Problems.
func ReadTree(fsys fs.FS) (*Tree, error) {
	tree := &Tree{positions: make(map[string]Position)}
	var problems Problems
	walk := func(name string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
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
		return nil, errors.Wrap(err, "read configuration tree")
	}
	if len(problems) > 0 {
		return nil, problems
	}
	if len(tree.Services) == 0 {
		return nil, errors.Errorf("no %s found: nothing to publish", FileName)
	}
	return tree, nil
}

func (t *Tree) readService(fsys fs.FS, name string) Problems {
	var file ServiceFile
	doc, problems := decode(fsys, name, &file)
	if problems != nil {
		return problems
	}
	c := compiler{doc: doc}
	service := c.service(&file)
	if len(c.problems) == 0 {
		t.Services = append(t.Services, service)
	}
	return append(c.problems, t.define(serviceKey(service.Name), doc.position("service"))...)
}

func (t *Tree) readCallers(fsys fs.FS, name string) Problems {
	var file CallersFile
	doc, problems := decode(fsys, name, &file)
	if problems != nil {
		return problems
	}
	c := compiler{doc: doc}
	for i, section := range file.Callers {
		caller := c.caller(i, section)
		c.problems = append(c.problems, t.define(callerKey(caller.Name), doc.position("callers", i, "name"))...)
		c.problems = append(c.problems, t.define("key/"+caller.KeyDigest, doc.position("callers", i, "key_sha256"))...)
		t.Callers = append(t.Callers, caller)
	}
	return c.problems
}

// define records where a name is defined, and reports a second definition.
func (t *Tree) define(name string, position Position) Problems {
	first, defined := t.positions[name]
	if !defined {
		t.positions[name] = position
		return nil
	}
	return Problems{{
		Position: position,
		Found:    fmt.Sprintf("%s is already defined at %s:%d", name, first.File, first.Line),
		Allowed:  "one definition in the whole tree",
	}}
}

// Regions returns the regions to which the services or their work refer, sorted.
func (t *Tree) Regions() []string {
	var regions []string
	for _, s := range t.Services {
		regions = append(regions, s.Regions...)
		for _, w := range s.Work {
			if w.Home != "" {
				regions = append(regions, w.Home)
			}
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions)
}

// CheckRegions reports, as Problems, services that refer to a region which is not
// in served, the regions that have an instance.
func (t *Tree) CheckRegions(served []string) error {
	var problems Problems
	allowed := strings.Join(served, ", ")
	for _, s := range t.Services {
		position := t.positions[serviceKey(s.Name)]
		for _, region := range (&Tree{Services: []*catalog.Service{s}}).Regions() {
			if !slices.Contains(served, region) {
				problems = append(problems, Problem{
					Position: Position{File: position.File, Line: position.Line, Field: "regions, home"},
					Found:    fmt.Sprintf("no instance serves region %q", region),
					Allowed:  allowed,
				})
			}
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// Entries returns the services and callers of the tree as entries to publish.
func (t *Tree) Entries() configlog.Entries {
	entries := make(configlog.Entries, len(t.Services)+len(t.Callers))
	for _, s := range t.Services {
		entries[serviceKey(s.Name)] = encode(s)
	}
	for _, c := range t.Callers {
		entries[callerKey(c.Name)] = encode(c)
	}
	return entries
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic("config: encode entry: " + err.Error())
	}
	return text
}

// document is a parsed file in which fields can be located.
type document struct {
	file string
	ast  *ast.File
}

// decode parses a file and decodes it into a struct. Unknown fields are problems.
func decode(fsys fs.FS, name string, into any) (*document, Problems) {
	text, err := fs.ReadFile(fsys, name)
	if err != nil {
		return nil, Problems{{Position: Position{File: name}, Found: err.Error()}}
	}
	if len(text) > maxFileBytes {
		return nil, Problems{{Position: Position{File: name}, Found: fmt.Sprintf("%d bytes", len(text)), Allowed: fmt.Sprintf("at most %d bytes", maxFileBytes)}}
	}
	file, err := parse(text, into)
	if err != nil {
		return nil, Problems{yamlProblem(name, err)}
	}
	return &document{file: name, ast: file}, nil
}

// parse parses a text and decodes it. The YAML library panics on some malformed
// texts; parse returns such a panic as an error.
func parse(text []byte, into any) (file *ast.File, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Errorf("malformed YAML: %v", cause)
		}
	}()
	file, err = parser.ParseBytes(text, 0)
	if err != nil {
		return nil, err
	}
	return file, yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(into)
}

// yamlProblem converts an error of the YAML library to a Problem.
func yamlProblem(name string, err error) Problem {
	position := Position{File: name}
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Position: position, Found: err.Error()}
	}
	if token := located.GetToken(); token != nil && token.Position != nil {
		position.Line = token.Position.Line
	}
	return Problem{Position: position, Found: located.GetMessage()}
}

// position returns the position of a field: the line of its value, or of the
// nearest parent that is present. A fieldPath consists of keys (string) and
// indexes (int).
func (d *document) position(fieldPath ...any) Position {
	position := Position{File: d.file, Field: formatFieldPath(fieldPath)}
	for n := len(fieldPath); n >= 0 && position.Line == 0; n-- {
		position.Line = d.line(fieldPath[:n])
	}
	return position
}

func (d *document) line(fieldPath []any) (line int) {
	defer func() {
		if recover() != nil {
			line = 0 // the YAML library panics on some nodes
		}
	}()
	builder := (&yaml.PathBuilder{}).Root()
	for _, step := range fieldPath {
		switch step := step.(type) {
		case string:
			builder = builder.Child(step)
		case int:
			builder = builder.Index(uint(step))
		}
	}
	node, err := builder.Build().FilterFile(d.ast)
	if err != nil || node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func formatFieldPath(fieldPath []any) string {
	var b strings.Builder
	for i, step := range fieldPath {
		switch step := step.(type) {
		case string:
			if i > 0 {
				b.WriteByte('.')
			}
			b.WriteString(step)
		case int:
			fmt.Fprintf(&b, "[%d]", step)
		}
	}
	return b.String()
}
