package catalog

import "slices"

// level is the urgency of requests: that of the organization precedes that of the work.
type level struct{ organization, work int }

func (l level) compare(o level) int {
	if l.organization != o.organization {
		return l.organization - o.organization
	}
	return l.work - o.work
}

// Levels are the levels of urgency of a service, most urgent first.
type Levels struct {
	index      map[level]int
	lastUrgent int // last level with work that is urgent by its route
}

// SetLevels computes the levels of each service. The priorities and the ranks of the work
// must be final. If no organization has a priority, the services have no levels.
func (s *Snapshot) SetLevels() {
	if s.Organizations == nil {
		return
	}
	priorities, withoutPriority := s.Organizations.priorities()
	if len(priorities) == 0 {
		return
	}
	for _, service := range s.Services {
		service.Levels = newLevels(service, priorities, withoutPriority)
	}
}

// priorities returns the priorities of the organizations, and whether any has none.
func (o *Organizations) priorities() (priorities []int, withoutPriority bool) {
	for organization := range o.All {
		if organization.Priority == nil {
			withoutPriority = true
			continue
		}
		priorities = append(priorities, *organization.Priority)
	}
	slices.Sort(priorities)
	return slices.Compact(priorities), withoutPriority
}

func newLevels(service *Service, priorities []int, withoutPriority bool) *Levels {
	var all, urgent []level
	add := func(l level, rank Rank) {
		all = append(all, l)
		if rank == Urgent {
			urgent = append(urgent, l)
		}
	}
	for _, work := range service.Work {
		if work.Public || withoutPriority {
			add(levelOf(nil, &work), work.Rank)
		}
		if work.Public {
			continue
		}
		for _, priority := range priorities {
			add(level{priority, work.Priority}, work.Rank)
		}
	}
	slices.SortFunc(all, level.compare)
	levels := &Levels{index: make(map[level]int)}
	for i, l := range slices.Compact(all) {
		levels.index[l] = i
	}
	if len(urgent) > 0 {
		levels.lastUrgent = levels.index[slices.MaxFunc(urgent, level.compare)]
	}
	return levels
}

// levelOf returns the level of work of an organization. Without a priority of the
// organization, that of the work takes its place.
func levelOf(organization *Organization, work *Work) level {
	if organization == nil || organization.Priority == nil {
		return level{work.Priority, work.Priority}
	}
	return level{*organization.Priority, work.Priority}
}

// WorkOf returns work of the service as it applies to an organization, or nil for requests
// of no organization. Its homes are those that both permit. If the service has levels, its
// priority is the level's index, which is the request class, and its rank follows from the
// level. permitted is false if the work and the organization have no home in common.
func (s *Service) WorkOf(organization *Organization, work Work) (_ Work, permitted bool) {
	if s.Levels != nil {
		work.Priority = s.Levels.index[levelOf(organization, &work)]
		work.Rank = Urgent
		if work.Priority > s.Levels.lastUrgent {
			work.Rank = Batch
		}
	}
	if organization == nil {
		return work, true
	}
	work.Homes, permitted = intersectHomes(work.Homes, organization.Homes)
	return work, permitted
}

// QueuePriority returns the priority of work that WorkOf has returned among the requests of
// its rank that wait. It is 0 for all work of a service without levels.
func (s *Service) QueuePriority(work *Work) int {
	if s.Levels == nil {
		return 0
	}
	return work.Priority
}

// intersectHomes returns the regions in both lists, of which an empty one has all regions.
// It returns false if there is none. It allocates only if the result differs from both.
func intersectHomes(a, b []string) ([]string, bool) {
	switch {
	case len(b) == 0 || len(a) > 0 && containsAll(b, a):
		return a, true
	case len(a) == 0 || containsAll(a, b):
		return b, true
	}
	var both []string
	for _, region := range a {
		if slices.Contains(b, region) {
			both = append(both, region)
		}
	}
	return both, len(both) > 0
}

func containsAll(list, items []string) bool {
	for _, item := range items {
		if !slices.Contains(list, item) {
			return false
		}
	}
	return true
}
