package hosted

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/store"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// storeLog logs when the store becomes unreachable and when it is reachable again.
type storeLog struct{ instance *Instance }

// SourceLost implements mirror.Observer.
func (l storeLog) SourceLost(err error) {
	l.instance.log.Warn().Str("event", "store_lost").Err(err).Msg("")
}

// SourceRecovered implements mirror.Observer.
func (l storeLog) SourceRecovered(revision store.Revision, outage time.Duration) {
	telemetry.Revision(l.instance.log.Info().Str("event", "store_back"), revision).Dur("away", outage).Msg("")
}

// EraChanged implements mirror.Observer.
func (l storeLog) EraChanged(change mirror.EraChange) {
	// A peer may have been the first to name the era.
	l.instance.store.LearnEra(change.To.Era)
	if change.From.IsZero() {
		return // nothing of an earlier era was known
	}
	l.instance.observer.StoreEraChanged(change.From, change.To, change.Dropped, change.Kept)
}

// rosterLog logs instances that appear or disappear, failed registrations and
// unreadable entries of instances.
type rosterLog struct{ *telemetry.Observer }

// InstanceSeen implements roster.Observer.
func (l rosterLog) InstanceSeen(instance roster.Instance, listed bool) {
	l.Log.Info().Str("event", "instance_seen").Str("peer", instance.ID).Str("region", instance.Region).
		Int64("started", instance.Started).Bool("listed", listed).Msg("")
}

// InstanceProbeFailed implements roster.Observer.
func (l rosterLog) InstanceProbeFailed(instance roster.Instance, cause error) {
	l.Log.Info().Str("event", "instance_gone").Str("peer", instance.ID).Str("region", instance.Region).Err(cause).Msg("")
}

// RegistrationFailed implements roster.Observer.
func (l rosterLog) RegistrationFailed(err error) {
	l.Log.Warn().Str("event", "registration_failed").Err(err).Msg("")
}

// EntryUnreadable implements roster.Observer.
func (l rosterLog) EntryUnreadable(key string, revision uint64, err error) {
	l.EntryRejected(telemetry.InstanceEntry, key, revision, err)
}
