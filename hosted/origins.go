package hosted

import (
	"context"
	"time"

	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/origin"
)

// origins finds which version of a service began a stream.
type origins struct {
	instance *Instance
	table    origin.Table
}

const (
	// originTTL exceeds the time from the first event of a stream until its caller can ask for
	// the rest: the longest timeout of a request.
	originTTL  = time.Minute
	maxOrigins = 1 << 18
)

func newOrigins(i *Instance) *origins {
	return &origins{instance: i, table: origin.Table{Capacity: maxOrigins, TTL: originTTL}}
}

// streamBegan records the version that has sent the first event of a stream.
func (o *origins) streamBegan(x *filters.Exchange, version origin.Version) {
	o.table.Add(time.Now(), origin.Record{Key: x.StreamKey(), Version: version})
}

// findLocal returns the version that began a stream, if this instance knows it.
func (o *origins) findLocal(key origin.Key) (origin.Version, origin.Source) {
	if version, found := o.table.Find(time.Now(), key); found {
		return version, origin.SourceLocal
	}
	return 0, origin.SourceUnknown
}

// find asks other instances for the version that began a stream.
func (o *origins) find(ctx context.Context, key origin.Key) (origin.Version, origin.Source) {
	return 0, origin.SourceUnknown
}
