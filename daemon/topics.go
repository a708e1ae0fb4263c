package daemon

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
)

// newTopics returns what the instances of the region exchange.
func (d *Daemon) newTopics() []exchange.Topic {
	return []exchange.Topic{
		d.admission.slots,
		d.admission.limits,
		d.config,
		d.loads,
		d.entries.loads,
		quarantine.Topic{Table: d.routes.quarantine, Now: time.Now},
	}
}
