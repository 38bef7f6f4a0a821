package plan

import (
	"testing"
	"time"
)

// A forecast takes less than 1 ms under the heaviest load, so that it doesn't hold decisions up.
func BenchmarkForecast(b *testing.B) {
	load := newBacklog(350, 9000, false, "urgent", "bulk", "advised")
	for range 300 {
		load.round("bulk")
		load.fixture.state.Forecast(load.now)
	}
	b.ReportMetric(float64(load.fixture.state.Waiting()), "waiting")
	b.ResetTimer()
	for range b.N {
		load.fixture.state.Forecast(load.now)
	}
	b.ReportMetric(float64(time.Duration(b.Elapsed().Nanoseconds()/int64(b.N)).Microseconds()), "µs")
	if f := load.fixture.state.Forecast(load.now); f.Unknown || len(f.Queues) == 0 {
		b.Fatal("nothing was forecast")
	}
}

// While nothing waits for long, a forecast is made four times a second all the same, and costs next to nothing.
func BenchmarkForecastCalm(b *testing.B) {
	load := newBacklog(350, 0, false, "urgent")
	for range 300 {
		load.fixture.state.Forecast(load.now)
		load.now = load.now.Add(50 * time.Millisecond)
	}
	b.ResetTimer()
	for range b.N {
		load.fixture.state.Forecast(load.now)
	}
	if f := load.fixture.state.Forecast(load.now); f.Unknown || len(f.Queues) != 0 {
		b.Fatal("a wait was forecast")
	}
}
