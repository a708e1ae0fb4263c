// Package store defines the interface to the platform's key-value service, and
// errors that state whether a failed write may have taken effect. The service
// allows several hundred writes and about two thousand reads per second for the
// whole fleet; a blocking watch counts as a call.
package store

import (
	"context"
	"time"
)

// Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // changes with each write of the key; never 0 for an existing key
	Era     uint64 `json:",omitempty"` // of the service in which Version was read; see Revision
}

// OpKind is the kind of an Op.
type OpKind uint8

// Kinds of operations in a transaction.
const (
	OpSet    OpKind = iota + 1 // write unconditionally
	OpCAS                      // write if the version of the key is Op.Version; 0 means that the key is absent
	OpDelete                   // delete unconditionally
	OpCheck                    // fail the transaction unless the version of the key is Op.Version; 0 means that the key is absent
)

// Op is one operation of a transaction.
type Op struct {
	Kind    OpKind
	Key     string
	Value   []byte
	Version uint64 // used by OpCAS and OpCheck
	Era     uint64 // of Version
}

// MaxOps is the maximum number of operations in one transaction.
const MaxOps = 64

// LeaseID is the id of a lease granted by the service.
type LeaseID string

// Store is the platform's key-value service. All errors satisfy errors.As for
// *Error, which states whether a failed write may have taken effect.
type Store interface {
	// Get returns the entry of key. An absent key gives ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries whose keys start with prefix, and the index to
	// pass to Watch.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits until a key that starts with prefix changes after index, or
	// until wait has passed. It returns all entries whose keys start with
	// prefix, and the index for the next call.
	Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Entry, uint64, error)
	// Txn applies all operations or none. A failed condition gives ErrConflict.
	Txn(ctx context.Context, ops []Op) error
	// Grant creates a lease that expires ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. An expired lease gives ErrNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys acquired under it.
	Revoke(ctx context.Context, id LeaseID) error
	// Acquire writes key under a lease if no other lease holds it. A key held
	// by another lease gives ErrConflict.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) error
}
