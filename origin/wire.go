package origin

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// MaxRecords bounds the records in a message.
const MaxRecords = 1 << 12

// Encoded sizes in bytes.
const (
	keyBytes   = 8
	groupBytes = 8 + 4 // version and number of keys
)

// provisionalGroup is set in the number of keys of a group of provisional records.
const provisionalGroup = 1 << 31

// Records is a list of records in a message. In JSON it is one base64 string of groups, each
// a version, the number of its keys with provisionalGroup, and the keys, in little-endian byte
// order.
type Records []Record

func (r Records) encode() []byte {
	type group struct {
		version     Version
		provisional bool
	}
	keys := make(map[group][]Key)
	var groups []group
	for _, record := range r {
		g := group{record.Version, record.Provisional}
		if keys[g] == nil {
			groups = append(groups, g)
		}
		keys[g] = append(keys[g], record.Key)
	}
	data := make([]byte, 0, len(groups)*groupBytes+len(r)*keyBytes)
	for _, g := range groups {
		count := uint32(len(keys[g]))
		if g.provisional {
			count |= provisionalGroup
		}
		data = binary.LittleEndian.AppendUint64(data, uint64(g.version))
		data = binary.LittleEndian.AppendUint32(data, count)
		for _, key := range keys[g] {
			data = binary.LittleEndian.AppendUint64(data, uint64(key))
		}
	}
	return data
}

// MarshalJSON implements json.Marshaler.
func (r Records) MarshalJSON() ([]byte, error) { return json.Marshal(r.encode()) }

// EncodedLen returns the length of the encoded records.
func (r Records) EncodedLen() int { return base64.StdEncoding.EncodedLen(len(r.encode())) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *Records) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return errors.Wrap(err, "decode origins")
	}
	*r = nil
	for len(data) > 0 {
		if len(data) < groupBytes {
			return errors.Errorf("decode origins: %d bytes after the last group", len(data))
		}
		version := Version(binary.LittleEndian.Uint64(data))
		number := binary.LittleEndian.Uint32(data[8:])
		count, provisional := int(number&^provisionalGroup), number&provisionalGroup != 0
		data = data[groupBytes:]
		if version == 0 || count == 0 || count > len(data)/keyBytes {
			return errors.Errorf("decode origins: version %v with %d keys in %d bytes", version, count, len(data))
		}
		if len(*r)+count > MaxRecords {
			return errors.Errorf("decode origins: more than %d records", MaxRecords)
		}
		*r = slices.Grow(*r, count)
		for ; count > 0; count-- {
			*r = append(*r, Record{Key: Key(binary.LittleEndian.Uint64(data)), Version: version, Provisional: provisional})
			data = data[keyBytes:]
		}
	}
	return nil
}
