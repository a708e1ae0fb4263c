// Package store defines the narrow interface to the platform's key-value
// service, and the errors that tell what is known about a failed write. The
// service allows several hundred writes and about two thousand reads a second
// for the whole fleet; a waiting watch counts as a call.
package store

import (
	"context"
	"time"
)

// Entry is a key with its value and version.
type Entry struct {
	Key     string
	Value   []byte
	Version uint64 // changes with each write of the key; never 0 for a present key
}

// OpKind selects what an Op does.
type OpKind uint8

// The kinds of operations of a transaction.
const (
	OpSet    OpKind = iota + 1 // write unconditionally
	OpCAS                      // write if the version is Op.Version; 0 means absent
	OpDelete                   // delete unconditionally
	OpCheck                    // fail unless the version is Op.Version; 0 means absent
)

// Op is one operation of a transaction.
type Op struct {
	Kind    OpKind
	Key     string
	Value   []byte
	Version uint64
}

// MaxOps is the largest number of operations in one transaction.
const MaxOps = 64

// LeaseID names a lease granted by the service.
type LeaseID string

// Store is the platform's key-value service. All errors satisfy errors.As for
// *Error, which tells whether a write took effect.
type Store interface {
	// Get returns the entry of key. An absent key gives ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries below prefix and the index to watch from.
	List(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits until something below prefix changes after index, or until
	// wait has passed, and returns the entries and the new index.
	Watch(ctx context.Context, prefix string, index uint64, wait time.Duration) ([]Entry, uint64, error)
	// Txn applies all operations or none. A failed condition gives ErrConflict.
	Txn(ctx context.Context, ops []Op) error
	// Grant creates a lease that ends ttl after its last KeepAlive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. A lapsed lease gives ErrNotFound.
	KeepAlive(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and deletes the keys acquired under it.
	Revoke(ctx context.Context, id LeaseID) error
	// Acquire writes key under a lease if no other lease holds it. A key held
	// by another lease gives ErrConflict.
	Acquire(ctx context.Context, key string, value []byte, id LeaseID) error
}
