package daemon

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

// newTopics returns the topics whose state the instances of the region exchange.
func (d *Daemon) newTopics() []exchange.Topic {
	return []exchange.Topic{
		d.admission.slotShares,
		d.admission.limitShares,
		d.config,
		d.loadTracker,
		d.entryService.loads,
		quarantine.Topic{Table: d.routingState.quarantine, Now: time.Now},
	}
}
