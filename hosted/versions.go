package hosted

import "github.com/fuchsiastack/fuchsiastack/origin"

// versions tracks which versions of each service may have begun a stream that is not at its
// end.
type versions struct {
	instance *Instance
}

func newVersions(i *Instance) *versions { return &versions{instance: i} }

// possible returns the versions of a service that may have begun a stream which callers may
// still ask for.
func (v *versions) possible(service string) []origin.Version { return nil }
