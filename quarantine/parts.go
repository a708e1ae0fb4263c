package quarantine

import "fmt"

// PartID identifies a part of a prompt by a digest.
type PartID uint64

// String returns the id in hexadecimal.
func (id PartID) String() string { return fmt.Sprintf("%016x", uint64(id)) }
