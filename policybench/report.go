package policybench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// RankReport holds the measurements of one rank of the model service. Fractions
// and shares range from 0 to 1.
type RankReport struct {
	Requests     int      `json:"requests"`
	WithinTarget float64  `json:"within_target"` // fraction served with the first token within the target
	Served       float64  `json:"served"`        // fraction served completely
	Refused      float64  `json:"refused"`       // fraction that ended with outcome.NotRun
	P50Millis    float64  `json:"ttft_p50_ms"`   // of requests whose first token reached the caller
	P99Millis    float64  `json:"ttft_p99_ms"`
	TokenShare   float64  `json:"token_share"` // of the served output tokens of both ranks
	SlotShare    float64  `json:"slot_share"`  // of the slot time of the engines that are up at the end of the window
	Fairness     Fairness `json:"fairness"`
}

// Report holds the measurements of a run under one policy. They cover the
// requests sent and the tokens computed in the measurement window, except for
// PoisonCrashes and RanTwice, which cover the whole run.
type Report struct {
	Setup  string     `json:"setup"`
	Run    string     `json:"run"`
	Policy string     `json:"policy"`
	Seed   uint64     `json:"seed"`
	Urgent RankReport `json:"urgent"`
	Batch  RankReport `json:"batch"`

	PlainWithinTarget      float64 `json:"plain_within_target"`       // fraction of the requests to the plain service
	ComputedPerOutputToken float64 `json:"computed_per_answer_token"` // computed prompt and output tokens per served output token
	Wasted                 float64 `json:"wasted"`                    // fraction of the computed tokens
	CacheHits              float64 `json:"cache_hits"`                // fraction of the prompt tokens
	Spilled                float64 `json:"sent_away"`                 // fraction of the requests to the model service sent to another region
	Goodput                float64 `json:"goodput"`                   // output tokens per second of requests served within target
	GoodputRatio           float64 `json:"goodput_of_possible"`       // goodput over the lower of offered load and remaining capacity
	PoisonCrashes          int     `json:"poison_crashes"`
	RanTwice               int     `json:"ran_twice"` // requests that are not repeatable and were executed more than once
}

// report computes the measurements of an execution.
func (b *Bench) report(run Run, policyName string, e *execution) *Report {
	model, plain := b.measuredRequests(e)
	usage := e.usageAfter.Sub(e.usageBefore)
	r := &Report{Setup: b.Setup.Name, Run: run.Name, Policy: policyName, Seed: b.Seed}
	r.Urgent = rankReport(model, catalog.Urgent)
	r.Batch = rankReport(model, catalog.Batch)
	r.PlainWithinTarget = fraction(plain, (*cluster.Request).WithinTarget)
	r.Spilled = fraction(model, func(q *cluster.Request) bool { return q.Spilled })
	servedTokens := outputTokens(model, (*cluster.Request).Served)
	r.ComputedPerOutputToken = ratio(float64(usage.Computed()), servedTokens)
	r.Wasted = ratio(float64(usage.Wasted), float64(usage.Computed()))
	r.CacheHits = ratio(float64(usage.Cached), float64(usage.Cached+usage.Prefilled))
	slotSeconds := float64(e.enginesUp*cluster.ModelEngineConfig().Slots) * b.windowLength().Seconds()
	r.Urgent.SlotShare = ratio(usage.SlotTime[catalog.Urgent].Seconds(), slotSeconds)
	r.Batch.SlotShare = ratio(usage.SlotTime[catalog.Batch].Seconds(), slotSeconds)
	b.setGoodput(r, model, e)
	r.RanTwice = ranTwice(e.cluster.Requests)
	if run.Name == RunPoison {
		r.PoisonCrashes = e.cluster.Usage(b.Setup.Model.Name).Crashes
	}
	return r
}

// measuredRequests returns the requests of each service that were sent in the
// measurement window, without the poison request.
func (b *Bench) measuredRequests(e *execution) (model, plain []*cluster.Request) {
	for _, r := range e.cluster.Requests {
		if r.SentAt < windowStart(b.Horizon) || r.SentAt >= windowEnd(b.Horizon) || r.Poison {
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

// windowLength returns the length of the measurement window.
func (b *Bench) windowLength() time.Duration { return windowEnd(b.Horizon) - windowStart(b.Horizon) }

func (b *Bench) setGoodput(r *Report, model []*cluster.Request, e *execution) {
	seconds := b.windowLength().Seconds()
	r.Goodput = outputTokens(model, (*cluster.Request).WithinTarget) / seconds
	offered := outputTokens(model, func(*cluster.Request) bool { return true }) / seconds
	attainable := min(offered, e.maxTokensPerSecond)
	r.GoodputRatio = ratio(r.Goodput, attainable)
}

func rankReport(model []*cluster.Request, rank catalog.Rank) RankReport {
	var list []*cluster.Request
	for _, r := range model {
		if r.Work.Rank == rank {
			list = append(list, r)
		}
	}
	p50, p99 := ttftPercentiles(list)
	return RankReport{
		Requests:     len(list),
		WithinTarget: fraction(list, (*cluster.Request).WithinTarget),
		Served:       fraction(list, (*cluster.Request).Served),
		Refused:      fraction(list, func(r *cluster.Request) bool { return r.Result.Outcome == outcome.NotRun }),
		P50Millis:    p50,
		P99Millis:    p99,
		TokenShare:   ratio(outputTokens(list, (*cluster.Request).Served), outputTokens(model, (*cluster.Request).Served)),
		Fairness:     fairness(list, rank),
	}
}

// ttftPercentiles returns the 50th and 99th percentile of the time to first token
// in milliseconds.
func ttftPercentiles(list []*cluster.Request) (p50, p99 float64) {
	const (
		maxMicros         = int64(20 * time.Minute / time.Microsecond)
		significantDigits = 3
	)
	h := hdrhistogram.New(1, maxMicros, significantDigits)
	for _, r := range list {
		if r.FirstTokenReceived {
			_ = h.RecordValue(r.TimeToFirstToken().Microseconds())
		}
	}
	const microsPerMilli = 1000
	return float64(h.ValueAtQuantile(50)) / microsPerMilli, float64(h.ValueAtQuantile(99)) / microsPerMilli
}

func fraction(list []*cluster.Request, match func(*cluster.Request) bool) float64 {
	count := 0
	for _, r := range list {
		if match(r) {
			count++
		}
	}
	return ratio(float64(count), float64(len(list)))
}

func outputTokens(list []*cluster.Request, match func(*cluster.Request) bool) float64 {
	sum := 0
	for _, r := range list {
		if match(r) {
			sum += r.OutputTokens
		}
	}
	return float64(sum)
}

// ranTwice counts the requests that are not repeatable and were executed more
// than once.
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
