package main

import "github.com/go-faster/errors"

// setup is one users' deployment.
type setup struct {
	name    string
	regions []string
	model   string // model service
	engines int    // replicas of the model service, over all regions
	plain   string // plain service
	plains  int    // replicas of the plain service
	work    string // work of the example request
	key     string // API key of the example request
}

var setups = []setup{
	{
		name: "swatch-guild", regions: []string{"cairo", "alex", "delta"},
		model: "drafting-desk", engines: 9, plain: "orders-desk", plains: 3,
		work: "grade-enquiry", key: "nile-press-key",
	},
	{
		name: "rank-registry", regions: []string{"erie", "michigan", "superior"},
		model: "sensei-model", engines: 18, plain: "registry-app", plains: 3,
		work: "exam-history", key: "dojo-one-key",
	},
}

func findSetup(name string) (setup, error) {
	for _, s := range setups {
		if s.name == name {
			return s, nil
		}
	}
	return setup{}, errors.Errorf("setup is %q, want swatch-guild or rank-registry", name)
}
