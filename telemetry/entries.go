package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// EntryKind is the kind of an entry that other processes write.
type EntryKind string

// Kinds of entries.
const (
	ServerEntry   EntryKind = "server"
	InstanceEntry EntryKind = "instance"
	ConfigEntry   EntryKind = "config"
	VersionsEntry EntryKind = "versions"
	StoreItem     EntryKind = "item" // of a response of the store; its key is that of the request
)

// EntryRejected records that a revision of an entry cannot be used.
func (o *Observer) EntryRejected(kind EntryKind, key string, revision uint64, err error) {
	o.Metrics.rejected.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", string(kind))))
	o.Log.Error().Str("event", string(kind)+"_unreadable").Str("key", key).Uint64("store_revision", revision).Err(err).Msg("")
}
