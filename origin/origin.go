// Package origin keeps which version of a service began a stream. Another server may
// continue a stream only if it runs the same version: what two versions write does not fit
// together. The package does no I/O; the time is passed in.
package origin

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Key identifies a stream. It is a digest of the organization of the caller as well, so that
// a caller neither finds the streams of another organization nor overwrites them.
type Key uint64

// KeyOf returns the key of the stream that began with a request.
func KeyOf(organization, work, requestID string) Key {
	hash := sha256.New()
	for _, text := range []string{organization, work, requestID} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(text), text)
	}
	return Key(binary.LittleEndian.Uint64(hash.Sum(nil)))
}

// Version identifies a version of the software of a service. The zero Version stands for an
// unknown one.
type Version uint64

// Ambiguous is the version of a stream that is recorded with two different ones. No server
// has it.
const Ambiguous Version = 1<<64 - 1

// String returns the key in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// ParseKey is the inverse of Key.String.
func ParseKey(text string) (Key, error) {
	k, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse key")
	}
	return Key(k), nil
}

// VersionOf returns the Version of a service and its version text. Texts are compared as
// they are; the empty one is a version like others.
func VersionOf(service, version string) Version {
	sum := xxhash.Sum64String(strconv.Itoa(len(service)) + ":" + service + version)
	return min(max(Version(sum), 1), Ambiguous-1)
}

// String returns the version in hexadecimal, "" for an unknown one.
func (v Version) String() string {
	if v == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", uint64(v))
}

// ParseVersion is the inverse of Version.String.
func ParseVersion(text string) (Version, error) {
	if text == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrap(err, "parse version")
	}
	return Version(v), nil
}

// Source tells where the version that began a stream was learned.
type Source string

// The sources of a version.
const (
	SourceUnknown     Source = ""
	SourceAnswer      Source = "answer"       // events of this answer have been sent
	SourceLocal       Source = "local"        // this instance knows it
	SourceRegion      Source = "region"       // another instance of the region
	SourceOtherRegion Source = "other_region" // an instance of another region
	SourceArchive     Source = "archive"      // the store
	SourceLost        Source = "lost"         // no instance knows it any more
	SourceOnlyVersion Source = "only_version" // no other version can have begun a stream
	SourceForwarded   Source = "forwarded"    // the instance that forwarded the request
)
