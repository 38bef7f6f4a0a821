package plan

// Waits are waits in milliseconds, by size.
type Waits [SizeClasses]int64

// QueueForecast has the expected waits of new jobs of a queue.
type QueueForecast struct {
	Room    [2]Waits             `cbor:"1,keyasint"`           // within and beyond the team's quota
	Work    [SizeClasses]float64 `cbor:"6,keyasint"`           // core-seconds of a usual job of each size
	Large   float64              `cbor:"7,keyasint,omitempty"` // core-seconds above which a floor may serve a job; 0 if that isn't known
	RunTime int                  `cbor:"3,keyasint,omitempty"` // least run time to expect, in percent of the estimate; 0 if that isn't known
	Pace    float64              `cbor:"4,keyasint,omitempty"` // jobs that started per second
	// Margins are the factors by which waits may be too long, within and beyond the quota. They follow
	// from how well forecasts held lately.
	Margins [2]float64 `cbor:"5,keyasint"`
}

// TeamForecast tells how much of its quota a team has left.
type TeamForecast struct {
	Jobs float64 `cbor:"1,keyasint"` // that it may submit now
	Rate float64 `cbor:"2,keyasint"` // by which they grow per second
}

// LimitForecast has the waits of a team's new jobs of a queue until they fit under its limit.
type LimitForecast struct {
	Queue string   `cbor:"1,keyasint"`
	Waits [2]Waits `cbor:"2,keyasint"` // within and beyond the quota
}
