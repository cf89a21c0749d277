package server

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"damaskspread.example/damaskspread"
	"damaskspread.example/damaskspread/replayer"
)

// ageSeconds returns a gauge of the currency age, with -1 for an unknown age.
func ageSeconds(currency damaskspread.Currency) func() float64 {
	return func() float64 {
		age := currency.Age()
		if age == damaskspread.MaxAge {
			return -1
		}
		return age.Seconds()
	}
}

func (e *Entry) metrics() *metrics.Set {
	e.metricsSet.NewGauge("damaskspread_currency_age_seconds", ageSeconds(e.follower))
	e.metricsSet.NewGauge("damaskspread_log_offset", func() float64 { return float64(e.follower.Offset()) })
	e.metricsSet.NewGauge("damaskspread_requests_in_flight", func() float64 { return float64(e.dispatcher.InFlight()) })
	e.metricsSet.NewGauge("damaskspread_tasks_pending", func() float64 {
		var pending int
		e.follower.View(func(state *replayer.State) { pending = state.PendingCount() })
		return float64(pending)
	})
	return e.metricsSet
}

func (a *Agent) metrics() *metrics.Set {
	set := metrics.NewSet()
	set.NewGauge("damaskspread_currency_age_seconds", ageSeconds(a.subscriber))
	set.NewGauge("damaskspread_claims", func() float64 { return float64(len(a.subscriber.View().Claims())) })
	set.NewGauge("damaskspread_shards", func() float64 { return float64(len(a.subscriber.View().Shards())) })
	if a.admitter == nil {
		return set
	}
	set.NewGauge("damaskspread_requests_running", func() float64 { return float64(a.admitter.Load().GetRunning()) })
	set.NewGauge("damaskspread_requests_queued", func() float64 { return float64(a.admitter.Load().GetQueued()) })
	set.NewGauge("damaskspread_admission_limit", func() float64 { return float64(a.admitter.Load().GetLimit()) })
	set.NewGauge("damaskspread_endpoint_service_time_seconds", func() float64 {
		return (time.Duration(a.admitter.Load().GetServiceTimeUs()) * time.Microsecond).Seconds()
	})
	return set
}
