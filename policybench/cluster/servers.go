package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// ModelEngineConfig returns the configuration of a model engine. A step of a
// full batch takes 25 ms and generates one token of each sequence; a step that
// also computes prompt tokens takes longer.
func ModelEngineConfig() engine.Config {
	return engine.Config{
		Slots:             16,
		KVTokens:          48 << 10,
		BlockTokens:       workload.BlockTokens,
		StepPrefillTokens: 512,
		StepBaseTime:      17 * time.Millisecond,
		DecodeTime:        500 * time.Microsecond,
		PrefillTime:       80 * time.Microsecond,
	}
}

// plainServerConfig returns the configuration of a server of a plain service. A
// request of a plain service is modeled as a few short engine steps.
func plainServerConfig() engine.Config {
	return engine.Config{
		Slots:             32,
		KVTokens:          1 << 20,
		BlockTokens:       1,
		StepPrefillTokens: 32,
		StepBaseTime:      5 * time.Millisecond,
	}
}
