package main

import "github.com/go-faster/errors"

// setup is an example deployment.
type setup struct {
	name          string
	regions       []string
	modelService  string // name of the model service
	modelReplicas int    // replicas of the model service in all regions together
	plainService  string // name of the plain service
	plainReplicas int    // replicas of the plain service in all regions together
	work          string // work of the example request
	apiKey        string // API key of the example request
}

var setups = []setup{
	{
		name: "swatch-guild", regions: []string{"cairo", "alex", "delta"},
		modelService: "drafting-desk", modelReplicas: 9, plainService: "orders-desk", plainReplicas: 3,
		work: "grade-enquiry", apiKey: "nile-press-key",
	},
	{
		name: "rank-registry", regions: []string{"erie", "michigan", "superior"},
		modelService: "sensei-model", modelReplicas: 18, plainService: "registry-app", plainReplicas: 3,
		work: "exam-history", apiKey: "dojo-one-key",
	},
}

func findSetup(name string) (setup, error) {
	for _, s := range setups {
		if s.name == name {
			return s, nil
		}
	}
	return setup{}, errors.Errorf("unknown setup %q: want swatch-guild or rank-registry", name)
}
