package cluster

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/policybench/engine"
	"github.com/fuchsiastack/fuchsiastack/policybench/workload"
)

// ModelEngine returns the size and speed of a model engine. A full batch
// generates a token of each sequence in 25 ms; one that computes prompts too
// takes longer.
func ModelEngine() engine.Config {
	return engine.Config{
		Slots:             16,
		KVTokens:          48 << 10,
		BlockTokens:       workload.BlockTokens,
		StepPrefillTokens: 512,
		StepTime:          17 * time.Millisecond,
		SequenceTime:      500 * time.Microsecond,
		PrefillTime:       80 * time.Microsecond,
	}
}

// plainServer returns the server of a plain service. A call is modeled as a
// few short steps.
func plainServer() engine.Config {
	return engine.Config{
		Slots:             32,
		KVTokens:          1 << 20,
		BlockTokens:       1,
		StepPrefillTokens: 32,
		StepTime:          5 * time.Millisecond,
	}
}
