package policybench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// WriteTable writes the reports of one setup and run as a text table with one
// column per policy.
func WriteTable(w io.Writer, reports []*Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, value func(*Report) string) {
		fmt.Fprintf(t, "%s\t", name)
		for _, r := range reports {
			fmt.Fprintf(t, "%s\t", value(r))
		}
		fmt.Fprintln(t)
	}
	row(reports[0].Setup+" "+reports[0].Run, func(r *Report) string { return r.Policy })
	rankRows(row, "urgent", func(r *Report) *RankReport { return &r.Urgent })
	rankRows(row, "batch", func(r *Report) *RankReport { return &r.Batch })
	row("plain within target", func(r *Report) string { return percent(r.PlainWithinTarget) })
	row("computed per answer token", func(r *Report) string { return fmt.Sprintf("%.2f", r.ComputedPerOutputToken) })
	row("wasted tokens", func(r *Report) string { return percent(r.Wasted) })
	row("cache hits", func(r *Report) string { return percent(r.CacheHits) })
	row("sent away", func(r *Report) string { return percent(r.Spilled) })
	row("goodput (tokens/s)", func(r *Report) string { return fmt.Sprintf("%.0f", r.Goodput) })
	row("goodput of possible", func(r *Report) string { return percent(r.GoodputRatio) })
	row("poison crashes", func(r *Report) string { return fmt.Sprint(r.PoisonCrashes) })
	row("ran twice", func(r *Report) string { return fmt.Sprint(r.RanTwice) })
	return t.Flush()
}

func rankRows(row func(string, func(*Report) string), name string, rankOf func(*Report) *RankReport) {
	row(name+" requests", func(r *Report) string { return fmt.Sprint(rankOf(r).Requests) })
	row(name+" within target", func(r *Report) string { return percent(rankOf(r).WithinTarget) })
	row(name+" served", func(r *Report) string { return percent(rankOf(r).Served) })
	row(name+" refused", func(r *Report) string { return percent(rankOf(r).Refused) })
	row(name+" TTFT p50 (ms)", func(r *Report) string { return fmt.Sprintf("%.0f", rankOf(r).P50Millis) })
	row(name+" TTFT p99 (ms)", func(r *Report) string { return fmt.Sprintf("%.0f", rankOf(r).P99Millis) })
	row(name+" share of answer tokens", func(r *Report) string { return percent(rankOf(r).TokenShare) })
	row(name+" share of slots", func(r *Report) string { return percent(rankOf(r).SlotShare) })
	row(name+" Jain's index", func(r *Report) string { return fmt.Sprintf("%.3f", rankOf(r).Fairness.Jain) })
	row(name+" worst caller", func(r *Report) string { return percent(rankOf(r).Fairness.Worst) })
}

func percent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }
