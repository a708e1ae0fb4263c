package hosted

import (
	"slices"

	"github.com/fuchsiastack/fuchsiastack/origin"
)

// versions tracks which versions of each service may have begun a stream that is not at its
// end.
type versions struct {
	instance *Instance
}

func newVersions(i *Instance) *versions { return &versions{instance: i} }

// possible returns the versions of a service that may have begun a stream which callers may
// still ask for.
func (v *versions) possible(service string) []origin.Version {
	var list []origin.Version
	for _, server := range v.instance.registry.Servers(service) {
		list = append(list, server.Origin())
	}
	v.instance.servers.mu.Lock()
	defer v.instance.servers.mu.Unlock()
	for _, entry := range v.instance.servers.remote {
		if entry.Service == service {
			list = append(list, entry.Origin())
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}
