package soak

import "time"

// publishConfig publishes a new version of the configuration.
func (in *injector) publishConfig() func() {
	return func() { in.harness.history.recordFault("configuration %d is published", in.harness.publishConfig()) }
}

// stormPause is the time between two versions of a series.
const stormPause = 330 * time.Millisecond

// stormConfig publishes new versions of the configuration in quick succession.
func (in *injector) stormConfig() func() {
	n := 2 + in.rand.IntN(10)
	return func() {
		in.harness.history.recordFault("%d configurations are published, one each %v", n, stormPause)
		for range n {
			in.harness.publishConfig()
			time.Sleep(stormPause)
		}
	}
}
