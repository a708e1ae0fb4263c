package hosted

import (
	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/quota"
)

// quotaMembers returns the numbers of instances among which quotas are divided while
// others are silent.
func (i *Instance) quotaMembers() quota.Members {
	members := quota.Members{Others: make(map[string]int)}
	for _, region := range i.roster.Regions() {
		count := len(i.roster.InRegion(region))
		if region == i.settings.Region {
			members.Own = count
			continue
		}
		members.Others[region] = count
	}
	return members
}

// quotaRoleOfResponse returns what a responder is to a sender of the given role: a
// collector tells a member what all others spend.
func quotaRoleOfResponse(sender collector.Source) quota.Role {
	if sender == collector.Member {
		return quota.Upstream
	}
	return quota.Role(sender)
}
