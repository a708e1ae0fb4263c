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

// Records is a list of records in a message. In JSON it is one base64 string of groups, each
// a version, the number of its keys and the keys, in little-endian byte order.
type Records []Record

func (r Records) encode() []byte {
	groups := make(map[Version][]Key)
	var versions []Version
	for _, record := range r {
		if groups[record.Version] == nil {
			versions = append(versions, record.Version)
		}
		groups[record.Version] = append(groups[record.Version], record.Key)
	}
	data := make([]byte, 0, len(versions)*groupBytes+len(r)*keyBytes)
	for _, version := range versions {
		data = binary.LittleEndian.AppendUint64(data, uint64(version))
		data = binary.LittleEndian.AppendUint32(data, uint32(len(groups[version])))
		for _, key := range groups[version] {
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
		count := int(binary.LittleEndian.Uint32(data[8:]))
		data = data[groupBytes:]
		if version == 0 || count == 0 || count > len(data)/keyBytes {
			return errors.Errorf("decode origins: version %v with %d keys in %d bytes", version, count, len(data))
		}
		if len(*r)+count > MaxRecords {
			return errors.Errorf("decode origins: more than %d records", MaxRecords)
		}
		*r = slices.Grow(*r, count)
		for ; count > 0; count-- {
			*r = append(*r, Record{Key: Key(binary.LittleEndian.Uint64(data)), Version: version})
			data = data[keyBytes:]
		}
	}
	return nil
}
