package collector

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// Encoded sizes in bytes. Lists of records are one base64 string in JSON, of integers in
// little-endian byte order.
const (
	keyBytes       = 8
	tokenBytes     = 4
	serverBytes    = keyBytes + tokenBytes*int(catalog.RankCount) // key of a server, tokens of each rank
	placementBytes = 2 * keyBytes                                 // key of a server, digest of a prefix
)

const (
	// MaxServers bounds the backend servers of a Work.
	MaxServers = 1 << 12
	// MaxPlacements bounds the placements in a message.
	MaxPlacements = 1 << 12
)

// decodeRecords decodes a list of at most limit records of size bytes each.
func decodeRecords(text []byte, what string, size, limit int) ([]byte, error) {
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return nil, errors.Wrapf(err, "decode %s", what)
	}
	if len(data)%size != 0 {
		return nil, errors.Errorf("decode %s: length of %d bytes is not a multiple of %d", what, len(data), size)
	}
	if len(data) > limit*size {
		return nil, errors.Errorf("decode %s: %d records, limit %d", what, len(data)/size, limit)
	}
	return data, nil
}

// MarshalJSON implements json.Marshaler. Servers without tokens are left out.
func (w Work) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, len(w)*serverBytes)
	for server, tokens := range w {
		if tokens == ([catalog.RankCount]int{}) {
			continue
		}
		data = binary.LittleEndian.AppendUint64(data, server)
		for _, count := range tokens {
			data = binary.LittleEndian.AppendUint32(data, uint32(min(max(count, 0), MaxTokens)))
		}
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (w *Work) UnmarshalJSON(text []byte) error {
	data, err := decodeRecords(text, "work", serverBytes, MaxServers)
	if err != nil {
		return err
	}
	*w = make(Work, len(data)/serverBytes)
	for ; len(data) > 0; data = data[serverBytes:] {
		var tokens [catalog.RankCount]int
		for rank := range tokens {
			count := binary.LittleEndian.Uint32(data[keyBytes+tokenBytes*rank:])
			if count > MaxTokens {
				return errors.Errorf("decode work: %d tokens of one server, limit %d", count, MaxTokens)
			}
			tokens[rank] = int(count)
		}
		(*w)[binary.LittleEndian.Uint64(data)] = tokens
	}
	return nil
}

// Placements is a list of placements in a message.
type Placements []routing.Placement

// MarshalJSON implements json.Marshaler.
func (p Placements) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, len(p)*placementBytes)
	for _, placement := range p {
		data = binary.LittleEndian.AppendUint64(data, placement.Server)
		data = binary.LittleEndian.AppendUint64(data, placement.Digest)
	}
	return json.Marshal(data)
}

// EncodedLen returns the length of the encoded records.
func (p Placements) EncodedLen() int { return base64.StdEncoding.EncodedLen(len(p) * placementBytes) }

// UnmarshalJSON implements json.Unmarshaler.
func (p *Placements) UnmarshalJSON(text []byte) error {
	data, err := decodeRecords(text, "placements", placementBytes, MaxPlacements)
	if err != nil {
		return err
	}
	*p = make(Placements, 0, len(data)/placementBytes)
	for ; len(data) > 0; data = data[placementBytes:] {
		*p = append(*p, routing.Placement{
			Server: binary.LittleEndian.Uint64(data), Digest: binary.LittleEndian.Uint64(data[keyBytes:]),
		})
	}
	return nil
}
