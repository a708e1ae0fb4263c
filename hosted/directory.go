package hosted

import (
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/platform"
)

const (
	// directoryTTL is short, so that callers leave an instance that drains
	// before it ends, also those that keep an answer three times as long.
	directoryTTL = time.Second
	maxDirectory = 64
	minZoneAddrs = 2 // fewer instances of one zone are not named alone
)

// answerDirectory names the instances that a caller may use: those of its zone
// if there are several, else those of its region, else all.
func (i *Instance) answerDirectory(w http.ResponseWriter, r *http.Request) {
	question := platform.ReadDirectoryQuestion(r)
	live := i.roster.Live()
	var inZone, inRegion, all []string
	for _, other := range live {
		all = append(all, other.CallerAddr)
		if other.Region == question.Region {
			inRegion = append(inRegion, other.CallerAddr)
		}
		if other.Zone == question.Zone {
			inZone = append(inZone, other.CallerAddr)
		}
	}
	addrs := all
	switch {
	case len(inZone) >= minZoneAddrs:
		addrs = inZone
	case len(inRegion) > 0:
		addrs = inRegion
	}
	if err := platform.WriteDirectoryAnswer(w, addrs[:min(len(addrs), maxDirectory)], min(directoryTTL, i.settings.Bounds.MaxTTL)); err != nil {
		i.log.Warn().Str("event", "directory_answer_failed").Err(err).Msg("")
	}
}
