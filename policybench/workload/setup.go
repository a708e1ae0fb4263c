// Package workload describes the deployments that policybench simulates and
// generates their requests from a seed.
package workload

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Region is the size of one region of a deployment.
type Region struct {
	Name          string
	Instances     int // gateway instances, distributed over the zones
	ModelReplicas int
	PlainReplicas int
	Callers       int // callers that send to the instances of the region
}

// Setup describes one deployment.
type Setup struct {
	Name      string
	Regions   []Region
	ZoneDelay time.Duration // one-way network delay between two zones of a region
	Model     *catalog.Service
	Plain     *catalog.Service
}

// ZonesPerRegion is the number of availability zones in a region.
const ZonesPerRegion = 2

// Latency targets, deadlines and minimum capacity shares of the services.
const (
	UrgentTarget   = 1900 * time.Millisecond
	UrgentDeadline = 30 * time.Second
	BatchTarget    = 60 * time.Second
	BatchDeadline  = 10 * time.Minute
	UrgentMinShare = 0.2
	BatchMinShare  = 0.1
	PlainTarget    = 500 * time.Millisecond
	PlainDeadline  = 10 * time.Second
)

// Names of the kinds of work. Work of the model service with the home region R is
// named homePrefix + R + "-" + urgentWork or batchWork.
const (
	urgentWork        = "enquiry"
	batchWork         = "draft"
	homePrefix        = "home-"
	repeatableWork    = "lookup"
	nonRepeatableWork = "dispatch"
)

// SwatchGuild returns the deployment with 9 model engines, 3 servers of the
// plain service and 6 instances.
func SwatchGuild() *Setup {
	return newSetup("swatch", 500*time.Microsecond, []Region{
		{Name: "cairo", Instances: 2, ModelReplicas: 4, PlainReplicas: 1, Callers: 12},
		{Name: "alex", Instances: 2, ModelReplicas: 3, PlainReplicas: 1, Callers: 9},
		{Name: "delta", Instances: 2, ModelReplicas: 2, PlainReplicas: 1, Callers: 6},
	}, "drafting-desk", "orders-desk")
}

// RankRegistry returns the deployment with 18 model engines, 3 servers of the
// plain service and 7 instances.
func RankRegistry() *Setup {
	return newSetup("registry", 1500*time.Microsecond, []Region{
		{Name: "erie", Instances: 3, ModelReplicas: 8, PlainReplicas: 1, Callers: 24},
		{Name: "michigan", Instances: 2, ModelReplicas: 6, PlainReplicas: 1, Callers: 18},
		{Name: "superior", Instances: 2, ModelReplicas: 4, PlainReplicas: 1, Callers: 12},
	}, "sensei-model", "registry-app")
}

// Setups returns every deployment.
func Setups() []*Setup { return []*Setup{SwatchGuild(), RankRegistry()} }

func newSetup(name string, zoneDelay time.Duration, regions []Region, model, plain string) *Setup {
	return &Setup{
		Name:      name,
		Regions:   regions,
		ZoneDelay: zoneDelay,
		Model:     modelService(model, regions),
		Plain:     plainService(plain),
	}
}

func modelService(name string, regions []Region) *catalog.Service {
	svc := &catalog.Service{
		Name: name,
		Kind: catalog.Model,
		Ranks: [catalog.RankCount]catalog.RankPolicy{
			catalog.Urgent: {Target: UrgentTarget, Deadline: UrgentDeadline, MinShare: UrgentMinShare},
			catalog.Batch:  {Target: BatchTarget, Deadline: BatchDeadline, MinShare: BatchMinShare},
		},
		Work:    make(map[string]catalog.Work),
		Default: urgentWork,
	}
	addWork(svc, catalog.Work{Name: urgentWork, Rank: catalog.Urgent, Repeatable: true})
	addWork(svc, catalog.Work{Name: batchWork, Rank: catalog.Batch, Repeatable: true})
	for _, r := range regions {
		home := homePrefix + r.Name + "-"
		addWork(svc, catalog.Work{Name: home + urgentWork, Rank: catalog.Urgent, Home: r.Name, Repeatable: true})
		addWork(svc, catalog.Work{Name: home + batchWork, Rank: catalog.Batch, Home: r.Name, Repeatable: true})
	}
	return svc
}

func plainService(name string) *catalog.Service {
	svc := &catalog.Service{
		Name: name,
		Kind: catalog.Plain,
		Ranks: [catalog.RankCount]catalog.RankPolicy{
			catalog.Urgent: {Target: PlainTarget, Deadline: PlainDeadline, MinShare: UrgentMinShare},
			catalog.Batch:  {Target: PlainTarget, Deadline: PlainDeadline, MinShare: BatchMinShare},
		},
		Work:    make(map[string]catalog.Work),
		Default: repeatableWork,
	}
	addWork(svc, catalog.Work{Name: repeatableWork, Rank: catalog.Urgent, Repeatable: true})
	addWork(svc, catalog.Work{Name: nonRepeatableWork, Rank: catalog.Urgent})
	return svc
}

func addWork(svc *catalog.Service, work catalog.Work) { svc.Work[work.Name] = work }

// Replicas returns the number of model engines of all regions.
func (s *Setup) Replicas() int {
	total := 0
	for _, r := range s.Regions {
		total += r.ModelReplicas
	}
	return total
}
