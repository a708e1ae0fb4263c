package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// RankReport is the service that one rank of the model service received.
// Shares are parts of one.
type RankReport struct {
	Requests     int      `json:"requests"`
	WithinTarget float64  `json:"within_target"` // share served with the first token in time
	Served       float64  `json:"served"`        // share served whole
	Refused      float64  `json:"refused"`       // share told that it did not run
	P50Millis    float64  `json:"ttft_p50_ms"`   // time to first token of the answered ones
	P99Millis    float64  `json:"ttft_p99_ms"`
	TokenShare   float64  `json:"token_share"` // of the answer tokens of both ranks
	SlotShare    float64  `json:"slot_share"`  // of the time of all slots of the engines that are up
	Fairness     Fairness `json:"fairness"`
}

// Report is what a run under one policy measured.
type Report struct {
	Setup  string     `json:"setup"`
	Run    string     `json:"run"`
	Policy string     `json:"policy"`
	Seed   uint64     `json:"seed"`
	Urgent RankReport `json:"urgent"`
	Batch  RankReport `json:"batch"`

	PlainWithinTarget float64 `json:"plain_within_target"` // share of the calls to the plain service
	TokensPerAnswer   float64 `json:"computed_per_answer_token"`
	Wasted            float64 `json:"wasted"`              // share of the computed tokens
	CacheHits         float64 `json:"cache_hits"`          // share of the prompt tokens
	SentAway          float64 `json:"sent_away"`           // share of the requests
	Goodput           float64 `json:"goodput"`             // answer tokens a second served within target
	GoodputPossible   float64 `json:"goodput_of_possible"` // over what load and remaining capacity allow
	PoisonCrashes     int     `json:"poison_crashes"`
	RanTwice          int     `json:"ran_twice"` // not repeatable, executed more than once
}

// report measures an execution.
func (b *Bench) report(run Run, policyName string, e *execution) *Report {
	model, plain := b.measured(e)
	usage := e.after.Sub(e.before)
	r := &Report{Setup: b.Setup.Name, Run: run.Name, Policy: policyName, Seed: b.Seed}
	r.Urgent = rankReport(model, catalog.Urgent)
	r.Batch = rankReport(model, catalog.Batch)
	r.PlainWithinTarget = share(plain, (*cluster.Request).WithinTarget)
	r.SentAway = share(model, func(q *cluster.Request) bool { return q.SentAway })
	delivered := answerTokens(model, (*cluster.Request).Served)
	r.TokensPerAnswer = ratio(float64(usage.Computed()), delivered)
	r.Wasted = ratio(float64(usage.Wasted), float64(usage.Computed()))
	r.CacheHits = ratio(float64(usage.Cached), float64(usage.Cached+usage.Prefilled))
	slots := float64(e.up*cluster.ModelEngine().Slots) * b.window().Seconds()
	r.Urgent.SlotShare = ratio(usage.SlotTime[catalog.Urgent].Seconds(), slots)
	r.Batch.SlotShare = ratio(usage.SlotTime[catalog.Batch].Seconds(), slots)
	b.goodput(r, model, e)
	r.RanTwice = ranTwice(e.cluster.Requests)
	if run.Name == RunPoison {
		r.PoisonCrashes = e.cluster.Usage(b.Setup.Model.Name).Crashes
	}
	return r
}

// measured returns the requests of both services sent in the measured part.
func (b *Bench) measured(e *execution) (model, plain []*cluster.Request) {
	for _, r := range e.cluster.Requests {
		if r.SentAt < start(b.Horizon) || r.SentAt >= end(b.Horizon) || r.Poison {
			continue
		}
		if r.Service == b.Setup.Model {
			model = append(model, r)
		} else {
			plain = append(plain, r)
		}
	}
	return model, plain
}

// window returns the length of the measured part.
func (b *Bench) window() time.Duration { return end(b.Horizon) - start(b.Horizon) }

func (b *Bench) goodput(r *Report, model []*cluster.Request, e *execution) {
	seconds := b.window().Seconds()
	r.Goodput = answerTokens(model, (*cluster.Request).WithinTarget) / seconds
	offered := answerTokens(model, func(*cluster.Request) bool { return true }) / seconds
	possible := min(offered, e.possible)
	r.GoodputPossible = ratio(r.Goodput, possible)
}

func rankReport(model []*cluster.Request, rank catalog.Rank) RankReport {
	var list []*cluster.Request
	for _, r := range model {
		if r.Work.Rank == rank {
			list = append(list, r)
		}
	}
	p50, p99 := timesToFirstToken(list)
	return RankReport{
		Requests:     len(list),
		WithinTarget: share(list, (*cluster.Request).WithinTarget),
		Served:       share(list, (*cluster.Request).Served),
		Refused:      share(list, func(r *cluster.Request) bool { return r.Result.Outcome == outcome.NotRun }),
		P50Millis:    p50,
		P99Millis:    p99,
		TokenShare:   ratio(answerTokens(list, (*cluster.Request).Served), answerTokens(model, (*cluster.Request).Served)),
		Fairness:     fairness(list, rank),
	}
}

// timesToFirstToken returns the 50th and 99th percentile in milliseconds.
func timesToFirstToken(list []*cluster.Request) (p50, p99 float64) {
	const (
		longest = int64(20 * time.Minute / time.Microsecond)
		digits  = 3
	)
	h := hdrhistogram.New(1, longest, digits)
	for _, r := range list {
		if r.Answered {
			_ = h.RecordValue(r.TimeToFirstToken().Microseconds())
		}
	}
	const millis = 1000 // microseconds in a millisecond
	return float64(h.ValueAtQuantile(50)) / millis, float64(h.ValueAtQuantile(99)) / millis
}

func share(list []*cluster.Request, keep func(*cluster.Request) bool) float64 {
	count := 0
	for _, r := range list {
		if keep(r) {
			count++
		}
	}
	return ratio(float64(count), float64(len(list)))
}

func answerTokens(list []*cluster.Request, keep func(*cluster.Request) bool) float64 {
	sum := 0
	for _, r := range list {
		if keep(r) {
			sum += r.OutputTokens
		}
	}
	return float64(sum)
}

// ranTwice counts the requests that may run once and ran more often.
func ranTwice(requests []*cluster.Request) int {
	count := 0
	for _, r := range requests {
		if !r.Work.Repeatable && r.Executions > 1 {
			count++
		}
	}
	return count
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
