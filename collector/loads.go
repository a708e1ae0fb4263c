package collector

import (
	"encoding/binary"
	"encoding/json"
	"math"
	"time"
)

const (
	countBytes = 2
	// loadBytes is the encoded size of a ServerLoad: key of the server, four counts.
	loadBytes = keyBytes + 4*countBytes
)

// ServerLoad is a load report that an instance has received from a backend server.
type ServerLoad struct {
	Server                  uint64 // key of the server
	Running, Waiting, Slots int
	Age                     time.Duration // since it was received, in whole milliseconds
}

// Loads is a list of load reports in a message.
type Loads []ServerLoad

// MarshalJSON implements json.Marshaler. Counts are limited to 16 bits.
func (l Loads) MarshalJSON() ([]byte, error) {
	data := make([]byte, 0, len(l)*loadBytes)
	for _, load := range l {
		data = binary.LittleEndian.AppendUint64(data, load.Server)
		for _, count := range [...]int{load.Running, load.Waiting, load.Slots, int(load.Age.Milliseconds())} {
			data = binary.LittleEndian.AppendUint16(data, uint16(min(max(count, 0), math.MaxUint16)))
		}
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (l *Loads) UnmarshalJSON(text []byte) error {
	data, err := decodeRecords(text, "loads", loadBytes, MaxServers)
	if err != nil {
		return err
	}
	*l = make(Loads, 0, len(data)/loadBytes)
	for ; len(data) > 0; data = data[loadBytes:] {
		count := func(n int) int { return int(binary.LittleEndian.Uint16(data[keyBytes+n*countBytes:])) }
		*l = append(*l, ServerLoad{
			Server: binary.LittleEndian.Uint64(data), Running: count(0), Waiting: count(1), Slots: count(2),
			Age: time.Duration(count(3)) * time.Millisecond,
		})
	}
	return nil
}
