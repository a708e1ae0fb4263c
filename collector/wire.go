package collector

import (
	"encoding/binary"
	"encoding/json"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// serverBytes is the encoded size of one server of a Work: its key and the tokens of
// each rank.
const serverBytes = 8 + 4*int(catalog.RankCount)

// errTooManyServers is returned for a Work of more than MaxServers servers.
var errTooManyServers = errors.Errorf("work of more than %d servers", MaxServers)

// MarshalJSON implements json.Marshaler. A Work is one base64 string of its servers in
// little-endian byte order. Servers without tokens are left out.
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
	var data []byte
	if err := json.Unmarshal(text, &data); err != nil {
		return errors.Wrap(err, "decode work")
	}
	if len(data)%serverBytes != 0 {
		return errors.Errorf("decode work: length of %d bytes is not a multiple of %d", len(data), serverBytes)
	}
	if len(data) > MaxServers*serverBytes {
		return errors.Wrap(errTooManyServers, "decode work")
	}
	*w = make(Work, len(data)/serverBytes)
	for ; len(data) > 0; data = data[serverBytes:] {
		var tokens [catalog.RankCount]int
		for rank := range tokens {
			count := binary.LittleEndian.Uint32(data[8+4*rank:])
			if count > MaxTokens {
				return errors.Errorf("decode work: %d tokens of one server, limit %d", count, MaxTokens)
			}
			tokens[rank] = int(count)
		}
		(*w)[binary.LittleEndian.Uint64(data)] = tokens
	}
	return nil
}
