package front

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/admit"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// freshForecastAge is the age up to which a host that rejects jobs doesn't ask for a newer forecast.
const freshForecastAge = 250 * time.Millisecond

// Forecasts provides the owner's forecast of waits; owner.Owner implements it.
type Forecasts interface {
	// Forecast returns the newest forecast, which may be nil, and its age at most.
	Forecast() (*plan.Forecast, time.Duration)
	// RefreshForecast asks for a newer one. It doesn't block.
	RefreshForecast()
	// Hosts returns the number of hosts that receive jobs.
	Hosts() int
}

// WithForecasts sets the forecasts by which jobs are rejected that would be worthless to their clients by the
// time they ended. By default all jobs are accepted.
func WithForecasts(f Forecasts) Option {
	return func(s *Service) { s.admission.forecasts = f }
}

// admission decides whether submitted jobs are accepted.
type admission struct {
	forecasts Forecasts // nil if all jobs are accepted
	gate      *admit.Gate
	rejected  map[string]metrics.Counter // rejections, by what the job would have waited for
	unknown   metrics.Counter            // acceptances without a usable forecast
	sampled   metrics.Counter            // verdicts against jobs that weren't carried out
	age       metrics.Gauge              // of the forecast used last, in milliseconds
}

func newAdmission(r metrics.Registry) *admission {
	a := &admission{
		gate: admit.New(), rejected: make(map[string]metrics.Counter), unknown: metrics.GetOrRegisterCounter("node.front.forecast.unknown", r),
		sampled: metrics.GetOrRegisterCounter("node.front.forecast.sampled", r), age: metrics.GetOrRegisterGauge("node.front.forecast.age", r),
	}
	for _, reason := range []string{"limit", "room", "advice"} {
		a.rejected[reason] = metrics.GetOrRegisterCounter("node.front.rejected."+reason, r)
	}
	return a
}

// turnAway answers a submission that isn't to be stored: one of a job that would end worthless, or of a job
// that turns out to be accepted already. It returns false if the job is to be stored.
//
// A rejection has to be true: the job isn't stored, so that it never runs. This host's board may lag behind an
// acceptance by another host, so turnAway asks the owner and then the store. If neither answers, the job takes the
// usual way, which is refused without an effect if the store is away.
func (s *Service) turnAway(r *request, job *model.Job) bool {
	a := s.admission
	if a.forecasts == nil || s.health.Failing() {
		return false
	}
	forecast, age := a.forecasts.Forecast()
	v := a.gate.Decide(s.clock.Now(), job, forecast, age, a.forecasts.Hosts())
	if forecast != nil {
		a.age.Update(age.Milliseconds())
	}
	if v.Unknown {
		a.unknown.Inc(1)
	}
	if v.Sample {
		a.sampled.Inc(1)
	}
	if !v.Rejected {
		return false
	}
	if age > freshForecastAge {
		a.forecasts.RefreshForecast()
	}
	if _, known := s.ownerClient.State(r.id); known {
		a.gate.Pass(s.clock.Now(), r.id)
		s.answerAccepted(r)
		return true
	}
	if _, known, err := s.findInStore(r.id); known || err != nil {
		a.gate.Pass(s.clock.Now(), r.id)
		if known {
			s.answerAccepted(r)
		}
		return known
	}
	a.rejected[v.Reason].Inc(1)
	s.logger.Info("job rejected", zap.String("id", r.id), zap.String("queue", r.queue.Name), zap.String("team", r.team), zap.String("reason", v.Reason), zap.Bool("excess", v.Beyond),
		zap.Duration("wait", v.Wait), zap.Duration("objective", v.Objective), zap.Duration("age", age), zap.Duration("retry", v.Retry))
	r.exchange.Header().Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(v.Retry/time.Second)))
	s.reject(r.exchange, fasthttp.StatusServiceUnavailable, "overloaded: it would end too late and was not accepted")
	return true
}
